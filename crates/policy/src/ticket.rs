//! Tickets: at most one run across a caller's own retries.
//!
//! A ticket belongs to one life of the VM that issued it. Only that life may
//! run a request with it, once; a repeat gets the outcome, or may-have-run. A
//! ticket of a life that is over is never run again, so no shared store and no
//! comparison of clocks is needed.
//!
//! Invariants: `redeem` answers [`TicketState::Fresh`] at most once a ticket;
//! forgetting an old ticket makes it unusable, not fresh.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use onyxfall_types::{Incarnation, RequestError, VmName};
use sha2::Sha256;
use thiserror::Error;

const MAC_LEN: usize = 16;

/// Names a ticket: issuer, its life, a serial number and a code of authenticity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketId {
    /// VM that issued it.
    pub issuer: VmName,
    /// Life of the issuer.
    pub incarnation: Incarnation,
    /// Serial number within that life.
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
    /// The code does not fit: not issued by this life of this VM.
    #[error("not issued by this life of this VM")]
    NotIssued,
    /// The issuer has forgotten it: too old.
    #[error("too old: the issuer has forgotten it")]
    Forgotten,
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
    /// A whole answer, kept for a repeat.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// No whole answer.
    Failed(RequestError),
}

/// What redeeming a ticket found.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketState {
    /// First use: the caller of `redeem` must run it and report the end.
    Fresh,
    /// The first use is still running.
    Running,
    /// The first use has ended.
    Ended(TicketOutcome),
}

/// Tickets that one life of a VM has issued.
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
    /// A ledger that remembers at most `limit` tickets.
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

    /// Number of tickets remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Issues a ticket.
    ///
    /// # Errors
    ///
    /// Every remembered ticket is running and the ledger is full.
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

    /// Redeems a ticket; [`TicketState::Fresh`] comes once.
    ///
    /// # Errors
    ///
    /// It was not issued by this life, or is forgotten.
    pub fn redeem(&mut self, ticket: &TicketId) -> Result<TicketState, TicketError> {
        let own = ticket.issuer == self.issuer && ticket.incarnation == self.incarnation;
        if !own || ticket.mac != self.mac(ticket.serial) {
            return Err(TicketError::NotIssued);
        }
        let state = self
            .states
            .get_mut(&ticket.serial)
            .ok_or(TicketError::Forgotten)?;
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
    /// A run that was not-run makes the ticket usable again.
    pub fn end(&mut self, ticket: &TicketId, outcome: TicketOutcome) {
        let Some(state) = self.states.get_mut(&ticket.serial) else {
            return;
        };
        debug_assert_eq!(
            *state,
            Some(TicketState::Running),
            "only a running ticket ends"
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
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(self.issuer.as_str().as_bytes());
        mac.update(&self.incarnation.get().to_le_bytes());
        mac.update(&serial.to_le_bytes());
        let full = mac.finalize().into_bytes();
        let mut short = [0; MAC_LEN];
        short.copy_from_slice(&full[..MAC_LEN]);
        short
    }
}
