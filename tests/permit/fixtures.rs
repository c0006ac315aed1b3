use std::time::Duration;

use comfreychute::id::{AdapterRef, UpstreamId};
use comfreychute::permit::{HolderConfig, PermitHolder};
use comfreychute::table::StoreRow;

/// Returns the weight store of the Lanka site.
pub fn lanka() -> StoreRow {
    StoreRow {
        name: "weights".to_owned(),
        loads_per_second: 3.0,
        parallel: 1,
        max_in_flight: 8,
        load_time: Duration::from_millis(250),
    }
}

/// Returns the weight store of the Brannock site.
pub fn brannock() -> StoreRow {
    StoreRow {
        loads_per_second: 4.5,
        parallel: 2,
        max_in_flight: 16,
        ..lanka()
    }
}

/// The longest time from a grant to the end of its load: the validity of one second plus 20 times
/// the load time.
pub const LONGEST_USE: Duration = Duration::from_secs(6);

/// The time before a new holder of either store grants: the longest use plus 5/4 of the lease.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(9_750);

pub fn upstream(number: usize) -> UpstreamId {
    UpstreamId::from_name(&format!("worker-{number}"))
}

pub fn adapter(number: usize) -> AdapterRef {
    AdapterRef::new(&format!("style-{number}"), "1").expect("the name is plain")
}

/// Returns a holder of the given store that has just become the holder.
pub fn new_holder(row: &StoreRow, now: Duration) -> PermitHolder {
    let mut holder = PermitHolder::new(HolderConfig::default(), 7, now);
    holder.set_stores(std::slice::from_ref(row), now);
    holder.set_holding(true, now);
    holder
}

/// Returns a holder of the given store after its takeover delay, with a full bucket, and the time.
pub fn ready_holder(row: &StoreRow) -> (PermitHolder, Duration) {
    let mut holder = new_holder(row, Duration::ZERO);
    let mut now = Duration::ZERO;
    // Two seconds fill the bucket after the delay.
    while now < TAKEOVER_DELAY + Duration::from_secs(2) {
        now += Duration::from_millis(500);
        holder.grants(now);
    }
    (holder, now)
}
