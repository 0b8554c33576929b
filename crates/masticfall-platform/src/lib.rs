//! Interface to the platform.
//!
//! Each service of the platform is a struct of closures, and each adapter is
//! one file: another platform needs one more file beside [`http`].

pub mod counted;
pub mod error;
pub mod fleet;
pub mod http;
pub mod instances;
pub mod objects;
pub mod serve;
pub mod tables;
pub mod traffic;
pub mod workers;

use std::sync::Arc;

use futures_util::future::BoxFuture;

pub use error::{PlatformError, Result};
pub use instances::{InstanceList, ListedInstance, ListedState};
pub use objects::ObjectStore;
pub use tables::{Check, Commit, Condition, Row, TableService, Transaction, Write};
pub use workers::{StartOutcome, StartTask, TaskState, TaskStatus, WorkerPool};

/// An asynchronous operation of the platform.
pub type Operation<A, R> = Arc<dyn Fn(A) -> BoxFuture<'static, Result<R>> + Send + Sync>;

/// Wraps an asynchronous function as an [`Operation`].
pub fn operation<A, R, F, Fut>(function: F) -> Operation<A, R>
where
    F: Fn(A) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<R>> + Send + 'static,
{
    Arc::new(move |argument| Box::pin(function(argument)))
}

/// Wraps an asynchronous function that needs a context, such as a client, as an
/// [`Operation`]; each call gets a clone of the context.
pub fn operation_on<C, A, R, F, Fut>(context: &C, function: F) -> Operation<A, R>
where
    C: Clone + Send + Sync + 'static,
    F: Fn(C, A) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<R>> + Send + 'static,
{
    let context = context.clone();
    operation(move |argument| function(context.clone(), argument))
}

/// All services of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Transactional table service.
    pub tables: TableService,
    /// Object store.
    pub objects: ObjectStore,
    /// List of instances, which may be stale.
    pub instances: InstanceList,
    /// Workers that run tasks under leases.
    pub workers: WorkerPool,
}
