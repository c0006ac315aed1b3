use std::time::Duration;

use tokio::sync::mpsc;

use crate::error::{Error, ErrorKind};
use crate::id::{AdapterRef, AttemptId, CallerId, RequestId, RequestRank};
use crate::peer::{CallChunk, CallOpen};

/// A call that an entry instance has forwarded to the owner of an upstream.
#[derive(Debug)]
pub struct OwnerCall {
    /// Identifies the request across its attempts.
    pub request: RequestId,
    /// The attempt to send to the upstream.
    pub attempt: AttemptId,
    /// The adapter to run the request on; `None` for plain services.
    pub adapter: Option<AdapterRef>,
    /// The caller that the scheduler's fair queuing accounts the request to.
    pub caller: CallerId,
    /// The priority of the request in the owner's queue.
    pub rank: RequestRank,
    /// The deadline on the clock of this process.
    pub deadline: Duration,
    /// The message as received from the entry instance.
    pub open: CallOpen,
    /// Receives the chunks of the answer; closed when the entry instance abandons the call.
    pub sink: mpsc::Sender<CallChunk>,
}

impl OwnerCall {
    /// Validates a message and computes the deadline on this process's clock.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Protocol`] if an identifier or the rank is malformed.
    pub fn from_open(
        open: CallOpen,
        sink: mpsc::Sender<CallChunk>,
        now: Duration,
    ) -> Result<Self, Error> {
        let malformed = |field: &str| {
            Error::new(
                ErrorKind::Protocol,
                format!("forwarded call: malformed {field}"),
            )
        };
        let request: [u8; 16] = open
            .request
            .as_slice()
            .try_into()
            .ok()
            .ok_or_else(|| malformed("request id"))?;
        let request = RequestId::from_u128(u128::from_be_bytes(request));
        let adapter = match open.adapter.as_str() {
            "" => None,
            adapter => Some(adapter.parse()?),
        };
        let rank = usize::try_from(open.rank)
            .ok()
            .and_then(|rank| RequestRank::ALL.get(rank));
        Ok(Self {
            request,
            attempt: AttemptId::new(request, open.attempt),
            adapter,
            caller: CallerId::from_name(&open.caller),
            rank: *rank.ok_or_else(|| malformed("rank"))?,
            deadline: now + Duration::from_millis(open.time_left_ms),
            open,
            sink,
        })
    }
}
