//! The set of evacuated data centres, as the operators' table states it.
//!
//! The table is the only record of the set. Every process follows it, so a process that
//! becomes the owner of the cell needs nothing from the previous one.

use indexmap::IndexSet;

use crate::id::DataCentre;

/// The evacuated data centres as of a version of the operators' table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    data_centres: IndexSet<DataCentre>,
    /// Version of the table up to which the set is complete.
    version: u64,
}

/// How a set of evacuated data centres has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centres that are evacuated from now on.
    pub begun: Vec<DataCentre>,
    /// Data centres whose evacuation was lifted.
    pub lifted: Vec<DataCentre>,
}

impl EvacuationChange {
    /// Returns whether the set is the same as before.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.lifted.is_empty()
    }
}

impl Evacuations {
    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> &IndexSet<DataCentre> {
        &self.data_centres
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Replaces the set by the one that the whole table states at a version. An older table
    /// than the one already known has no effect: the feed and a new owner's list may arrive
    /// in any order.
    pub fn apply_list(&mut self, listed: IndexSet<DataCentre>, version: u64) -> EvacuationChange {
        if version < self.version {
            return EvacuationChange::default();
        }
        self.replace(listed, version)
    }

    /// Applies changes from the table's feed, which are in order and complete up to a
    /// version. They have no effect if a newer table is known.
    pub fn apply_changes(
        &mut self,
        changes: impl IntoIterator<Item = (DataCentre, bool)>,
        version: u64,
    ) -> EvacuationChange {
        if version < self.version {
            return EvacuationChange::default();
        }
        let mut data_centres = self.data_centres.clone();
        for (data_centre, is_evacuated) in changes {
            if is_evacuated {
                data_centres.insert(data_centre);
            } else {
                data_centres.shift_remove(&data_centre);
            }
        }
        self.replace(data_centres, version)
    }

    fn replace(&mut self, data_centres: IndexSet<DataCentre>, version: u64) -> EvacuationChange {
        let begun = data_centres.difference(&self.data_centres).cloned().collect();
        let lifted = self.data_centres.difference(&data_centres).cloned().collect();
        self.data_centres = data_centres;
        self.version = version;
        EvacuationChange { begun, lifted }
    }
}
