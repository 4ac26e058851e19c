//! Dense entity ids and the map that they index.
//!
//! An id is an index into a table of the bundle that issued it. Ids of two
//! bundles must not be mixed; names cross that border instead.

use std::fmt;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};
use std::str::FromStr;

use crate::quantity::QuantityError;

/// A dense id: an index with a type.
pub trait EntityId: Copy + Eq {
    /// Wraps an index.
    fn from_index(index: usize) -> Self;
    /// Returns the index.
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
    /// A region of one bundle.
    RegionId,
    "region"
);
entity_id!(
    /// A data centre of one bundle.
    CenterId,
    "center"
);
entity_id!(
    /// An entry VM in one membership table.
    VmId,
    "vm"
);
entity_id!(
    /// A backend server of one bundle.
    ServerId,
    "server"
);
entity_id!(
    /// A route of one configuration.
    RouteId,
    "route"
);
entity_id!(
    /// A request kind of one bundle.
    KindId,
    "kind"
);
entity_id!(
    /// A model of one bundle.
    ModelId,
    "model"
);
entity_id!(
    /// An adapter of one bundle.
    AdapterId,
    "adapter"
);
entity_id!(
    /// A team (the holder of a rate limit) of one bundle.
    TeamId,
    "team"
);

/// A dense table from ids of one type to values.
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
    /// Creates an empty table.
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

    /// Returns the value of `id`, if the table has it.
    pub fn get(&self, id: K) -> Option<&V> {
        self.values.get(id.index())
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether the table has no value.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Ids in order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.values.len()).map(K::from_index)
    }

    /// Values in id order.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.values.iter()
    }

    /// Pairs of id and value in id order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values
            .iter()
            .enumerate()
            .map(|(i, v)| (K::from_index(i), v))
    }

    /// Pairs of id and mutable value in id order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values
            .iter_mut()
            .enumerate()
            .map(|(i, v)| (K::from_index(i), v))
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
