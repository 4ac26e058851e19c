//! Cancellation: notifies the threads of a request that its caller has disconnected.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;

type HookFn = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct CancelState {
    cancelled: bool,
    next_key: u64,
    hooks: BTreeMap<u64, HookFn>,
}

/// A shared flag with hooks; cancellation is permanent.
///
/// ```
/// use onyxfall_http::CancelToken;
/// let token = CancelToken::new();
/// let (sender, receiver) = std::sync::mpsc::channel();
/// let _hook = token.on_cancel(move || sender.send(()).unwrap());
/// token.cancel();
/// assert!(token.is_cancelled() && receiver.recv().is_ok());
/// ```
#[derive(Clone, Default)]
pub struct CancelToken {
    state: Arc<Mutex<CancelState>>,
}

impl CancelToken {
    /// Creates a token that is not cancelled.
    pub fn new() -> Self {
        Self::default()
    }

    /// Cancels the token; the hooks run once, on the calling thread.
    pub fn cancel(&self) {
        let hooks = {
            let mut state = self.state.lock();
            state.cancelled = true;
            std::mem::take(&mut state.hooks)
        };
        for hook in hooks.into_values() {
            hook();
        }
    }

    /// Whether the token is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.state.lock().cancelled
    }

    /// Runs `hook` on cancellation, or immediately if the token is already cancelled;
    /// dropping the returned value removes the hook.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) -> CancelHook {
        let mut state = self.state.lock();
        if state.cancelled {
            drop(state);
            hook();
            return CancelHook {
                token: self.clone(),
                key: None,
            };
        }
        let key = state.next_key;
        state.next_key += 1;
        state.hooks.insert(key, Box::new(hook));
        CancelHook {
            token: self.clone(),
            key: Some(key),
        }
    }
}

/// Keeps a hook registered until it is dropped.
pub struct CancelHook {
    token: CancelToken,
    key: Option<u64>,
}

impl Drop for CancelHook {
    fn drop(&mut self) {
        let Some(key) = self.key else { return };
        let hook = self.token.state.lock().hooks.remove(&key);
        drop(hook);
    }
}
