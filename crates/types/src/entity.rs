//! Dense entity ids and the map that they index.
//!
//! An id is an index into a table of the bundle that issued it and is only valid for
//! that bundle. Entities are identified across bundles by name.

use std::fmt;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};
use std::str::FromStr;

use crate::quantity::QuantityError;

/// A typed index into an [`EntityMap`].
pub trait EntityId: Copy + Eq {
    /// Creates an id from an index.
    fn from_index(index: usize) -> Self;
    /// Returns the index of this id.
    fn index(self) -> usize;
}

macro_rules! entity_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl EntityId for $name {
            fn from_index(index: usize) -> Self {
                debug_assert!(u32::try_from(index).is_ok(), "entity index out of range");
                Self(u32::try_from(index).unwrap_or(u32::MAX))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_prefix($prefix)
                    .and_then(|digits| digits.parse().ok())
                    .map(Self)
                    .ok_or_else(|| QuantityError::new(text, concat!($prefix, " and a number")))
            }
        }
    };
}

entity_id!(
    /// Id of a region within one bundle.
    RegionId,
    "region"
);
entity_id!(
    /// Id of a data centre within one bundle.
    CenterId,
    "center"
);
entity_id!(
    /// Id of an entry VM within one membership table.
    VmId,
    "vm"
);
entity_id!(
    /// Id of a backend server within one bundle.
    ServerId,
    "server"
);
entity_id!(
    /// Id of a route within one configuration.
    RouteId,
    "route"
);
entity_id!(
    /// Id of a request kind within one bundle.
    KindId,
    "kind"
);
entity_id!(
    /// Id of a model within one bundle.
    ModelId,
    "model"
);
entity_id!(
    /// Id of an adapter within one bundle.
    AdapterId,
    "adapter"
);
entity_id!(
    /// Id of a team, to which rate limits apply, within one bundle.
    TeamId,
    "team"
);

/// A map from ids of one type to values, stored as a dense vector.
///
/// ```
/// use onyxfall_types::{EntityMap, RegionId};
/// let mut map: EntityMap<RegionId, &str> = EntityMap::new();
/// let id = map.push("brisbane");
/// assert_eq!(map[id], "brisbane");
/// assert_eq!(id.to_string(), "region0");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntityMap<K, V> {
    values: Vec<V>,
    key: PhantomData<K>,
}

impl<K: EntityId, V> EntityMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self {
            values: Vec::new(),
            key: PhantomData,
        }
    }

    /// Appends a value and returns its id.
    pub fn push(&mut self, value: V) -> K {
        self.values.push(value);
        K::from_index(self.values.len() - 1)
    }

    /// Returns the value of `id`, or `None` if `id` is out of range.
    pub fn get(&self, id: K) -> Option<&V> {
        self.values.get(id.index())
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether the map has no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Iterates over the ids in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.values.len()).map(K::from_index)
    }

    /// Iterates over the values in id order.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.values.iter()
    }

    /// Iterates over pairs of id and value in id order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }

    /// Iterates over pairs of id and mutable value in id order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values
            .iter_mut()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K: EntityId, V> Default for EntityMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: EntityId, V> FromIterator<V> for EntityMap<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(iter: I) -> Self {
        Self {
            values: iter.into_iter().collect(),
            key: PhantomData,
        }
    }
}

impl<K: EntityId, V> Index<K> for EntityMap<K, V> {
    type Output = V;

    fn index(&self, id: K) -> &V {
        &self.values[id.index()]
    }
}

impl<K: EntityId, V> IndexMut<K> for EntityMap<K, V> {
    fn index_mut(&mut self, id: K) -> &mut V {
        &mut self.values[id.index()]
    }
}
