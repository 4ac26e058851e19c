//! Tickets: at most one run of a request across a caller's own retries.
//!
//! A ticket belongs to one incarnation of the VM that issued it. Only that
//! incarnation may run a request with it, once; a repeat gets the outcome, or
//! may-have-run. A ticket of an earlier incarnation never runs again, so neither a
//! shared store nor a comparison of clocks is needed.
//!
//! Invariants: `redeem` returns [`TicketState::Fresh`] at most once per ticket,
//! unless the run is reported as not-run; evicting an old ticket makes it unusable,
//! not fresh.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use onyxfall_types::{Incarnation, RequestError, VmName};
use sha2::Sha256;
use thiserror::Error;

const MAC_LEN: usize = 16;

/// Identifies a ticket: issuer, its incarnation, a serial number and a message
/// authentication code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketId {
    /// VM that issued the ticket.
    pub issuer: VmName,
    /// Incarnation of the issuer.
    pub incarnation: Incarnation,
    /// Serial number within that incarnation.
    pub serial: u64,
    mac: [u8; MAC_LEN],
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mac = hex::encode(self.mac);
        write!(
            f,
            "{}~{}~{}~{mac}",
            self.issuer, self.incarnation, self.serial
        )
    }
}

/// Why a ticket cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TicketError {
    /// The text is not a ticket.
    #[error("not a ticket")]
    Malformed,
    /// The authentication code does not match: not issued by this incarnation of
    /// this VM.
    #[error("not issued by this incarnation of this VM")]
    NotIssued,
    /// The issuer has evicted the ticket.
    #[error("expired: the issuer has evicted the ticket")]
    Evicted,
    /// The issuer has too many open tickets.
    #[error("too many open tickets")]
    TooMany,
}

impl FromStr for TicketId {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('~');
        let mut next = || parts.next().ok_or(TicketError::Malformed);
        let issuer = next()?.parse().map_err(|_| TicketError::Malformed)?;
        let incarnation = next()?.parse().map_err(|_| TicketError::Malformed)?;
        let serial = next()?.parse().map_err(|_| TicketError::Malformed)?;
        let mut mac = [0; MAC_LEN];
        hex::decode_to_slice(next()?, &mut mac).map_err(|_| TicketError::Malformed)?;
        if parts.next().is_some() {
            return Err(TicketError::Malformed);
        }
        Ok(Self {
            issuer,
            incarnation,
            serial,
            mac,
        })
    }
}

/// How the request of a ticket ended.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketOutcome {
    /// A complete response, kept for a repeat.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// No complete response.
    Failed(RequestError),
}

/// Result of redeeming a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketState {
    /// First use: the caller of `redeem` must run the request and report its end.
    Fresh,
    /// The request is still running.
    Running,
    /// The request has ended.
    Ended(TicketOutcome),
}

/// Tickets issued by one incarnation of a VM.
pub struct TicketLedger {
    issuer: VmName,
    incarnation: Incarnation,
    secret: [u8; 32],
    next_serial: u64,
    states: BTreeMap<u64, Option<TicketState>>,
    ended: VecDeque<u64>,
    limit: usize,
}

impl TicketLedger {
    /// Creates a ledger that keeps at most `limit` tickets.
    pub fn new(issuer: VmName, incarnation: Incarnation, secret: [u8; 32], limit: usize) -> Self {
        Self {
            issuer,
            incarnation,
            secret,
            next_serial: 0,
            states: BTreeMap::new(),
            ended: VecDeque::new(),
            limit,
        }
    }

    /// Number of kept tickets.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Issues a ticket.
    ///
    /// # Errors
    ///
    /// The ledger is full and every kept ticket is running.
    pub fn issue(&mut self) -> Result<TicketId, TicketError> {
        self.make_room()?;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.states.insert(serial, None);
        Ok(TicketId {
            issuer: self.issuer.clone(),
            incarnation: self.incarnation,
            serial,
            mac: self.mac(serial),
        })
    }

    /// Redeems a ticket; only the first use returns [`TicketState::Fresh`].
    ///
    /// # Errors
    ///
    /// The ticket was not issued by this incarnation, or is evicted.
    pub fn redeem(&mut self, ticket: &TicketId) -> Result<TicketState, TicketError> {
        let own = ticket.issuer == self.issuer && ticket.incarnation == self.incarnation;
        if !own || ticket.mac != self.mac(ticket.serial) {
            return Err(TicketError::NotIssued);
        }
        let state = self
            .states
            .get_mut(&ticket.serial)
            .ok_or(TicketError::Evicted)?;
        match state {
            None => {
                *state = Some(TicketState::Running);
                Ok(TicketState::Fresh)
            }
            Some(known) => Ok(known.clone()),
        }
    }

    /// Reports how the run of a ticket ended.
    ///
    /// An outcome with the verdict not-run makes the ticket usable again.
    pub fn end(&mut self, ticket: &TicketId, outcome: TicketOutcome) {
        let Some(state) = self.states.get_mut(&ticket.serial) else {
            return;
        };
        debug_assert_eq!(
            *state,
            Some(TicketState::Running),
            "ended a ticket that is not running"
        );
        let not_run = matches!(&outcome, TicketOutcome::Failed(error)
            if error.verdict == onyxfall_types::RunVerdict::NotRun);
        if not_run {
            *state = None;
            return;
        }
        *state = Some(TicketState::Ended(outcome));
        self.ended.push_back(ticket.serial);
    }

    fn make_room(&mut self) -> Result<(), TicketError> {
        while self.states.len() >= self.limit {
            if let Some(serial) = self.ended.pop_front() {
                self.states.remove(&serial);
                continue;
            }
            let unused = self
                .states
                .iter()
                .find(|(_, state)| state.is_none())
                .map(|(s, _)| *s);
            let serial = unused.ok_or(TicketError::TooMany)?;
            self.states.remove(&serial);
        }
        Ok(())
    }

    fn mac(&self, serial: u64) -> [u8; MAC_LEN] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        mac.update(self.issuer.as_str().as_bytes());
        mac.update(&self.incarnation.get().to_le_bytes());
        mac.update(&serial.to_le_bytes());
        let full = mac.finalize().into_bytes();
        let mut short = [0; MAC_LEN];
        short.copy_from_slice(&full[..MAC_LEN]);
        short
    }
}
