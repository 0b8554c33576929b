//! Tests of the entry process as a process: real sockets, signals and kills.

mod answers;
mod edge;
mod fleet;
mod orders;
mod settings;
mod shutdown;
