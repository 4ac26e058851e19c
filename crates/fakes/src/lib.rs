//! Stubs of the systems around onyxfall, for tests, the try-out and experiments; not part
//! of the product.
//!
//! Each stub listens on loopback. Its faults are set through a shared handle, or over HTTP
//! at `/fake/control` when it runs in another process.

mod control;
mod copies;
mod crowd;
mod engine;
mod faulty_link;
mod link;
mod platform;
mod server;
mod service;
mod serving;
mod slots;
mod store;

pub use crowd::{CallerCrowd, CrowdBounds, ProcessUse, RawUpload, UploadShape};
pub use engine::{EngineFaults, EngineSettings, FakeEngine};
pub use faulty_link::{FaultyLink, LinkMode, PathCut};
pub use link::{FakeLink, LinkRules};
pub use onyxfall_server_model::{
    BreakEnd, BreakPoint, RequestedBackoff, RunState, ServerFault, StubFraming, StubSignals,
    StubTransfer,
};
pub use platform::{FakePlatform, PlatformFaults};
pub use server::{
    ArrivedRequest, CRASHING_BODY, CRASHING_PARTS, LostRuns, ReceivedRequest, ServerStub,
    is_crashing_part,
};
pub use service::{FakeService, ServiceFaults, ServiceSettings};
pub use store::{StoreMode, StoreStub};
