//! Parts of the placement of new flows.

pub mod cold;
