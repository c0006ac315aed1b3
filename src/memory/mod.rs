//! The memory and the connections that callers may take together.
//!
//! [`MemoryBudget`] is the one budget of a process. Each connection holds a [`MemoryGrant`], against which
//! its head, its body and its unread answer are charged as they are allocated; the charges are returned
//! when the guards are dropped. `docs/design/memory-limits.md` gives the bounds.

mod body_owner;
mod held_state;
mod memory_budget;
mod memory_grant;
mod memory_limits;

use body_owner::BodyOwner;
use held_state::HeldState;
pub use memory_budget::{AllocatedBytes, MemoryBudget};
pub use memory_grant::{MemoryGrant, ShedError};
pub use memory_limits::MemoryLimits;
