//! An ordered set of weighted keys with the number and the sum of the weights of the keys before one.
//!
//! A treap: a search tree by key that is also a heap by a hash, which keeps it balanced. All
//! operations take O(log n) on average. The standard library's trees have no sums.

/// A binary tree, ordered by key.
#[derive(Debug)]
pub struct WeightedSet<K> {
    root: Link<K>,
    /// State of the generator of heap positions.
    seed: u64,
}

type Link<K> = Option<Box<Node<K>>>;

#[derive(Debug)]
struct Node<K> {
    key: K,
    weight: f64,
    /// Position in the heap. Invariant: at least that of both children.
    height: u64,
    /// Sum of the weights of this node and all nodes below.
    sum: f64,
    /// Number of this node and all nodes below.
    count: usize,
    left: Link<K>,
    right: Link<K>,
}

impl<K> Node<K> {
    fn update(&mut self) {
        let (left, right) = (self.left.as_deref(), self.right.as_deref());
        self.sum = sum(left) + self.weight + sum(right);
        self.count = count(left) + 1 + count(right);
    }
}

impl<K> Default for WeightedSet<K> {
    fn default() -> Self {
        Self {
            root: None,
            seed: 1,
        }
    }
}

impl<K: Ord + Copy> WeightedSet<K> {
    /// Adds a key that is not in the set.
    pub fn insert(&mut self, key: K, weight: f64) {
        // SplitMix64: deterministic, and independent of the order of the keys.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let node = Box::new(Node {
            key,
            weight,
            height: mixed ^ (mixed >> 31),
            sum: weight,
            count: 1,
            left: None,
            right: None,
        });
        let (before, after) = split(self.root.take(), &key);
        self.root = merge(merge(before, Some(node)), after);
    }

    /// Removes a key, if it is in the set.
    pub fn remove(&mut self, key: &K) {
        remove(&mut self.root, key);
    }

    /// Returns the lowest key.
    pub fn first(&self) -> Option<K> {
        let mut node = self.root.as_ref()?;
        while let Some(left) = &node.left {
            node = left;
        }
        Some(node.key)
    }

    /// Returns up to `count` of the lowest keys, in order.
    pub fn first_keys(&self, count: usize) -> Vec<K> {
        let mut keys = Vec::with_capacity(count);
        collect(self.root.as_deref(), count, &mut keys);
        keys
    }

    /// Returns the highest key.
    pub fn last(&self) -> Option<K> {
        let mut node = self.root.as_ref()?;
        while let Some(right) = &node.right {
            node = right;
        }
        Some(node.key)
    }

    /// Returns the sum of the weights of all keys below one, which need not be in the set, and their
    /// number.
    pub fn before(&self, key: &K) -> (f64, usize) {
        let mut link = &self.root;
        let (mut weight, mut number) = (0.0, 0);
        while let Some(node) = link {
            if node.key < *key {
                let left = node.left.as_deref();
                weight += sum(left) + node.weight;
                number += count(left) + 1;
                link = &node.right;
            } else {
                link = &node.left;
            }
        }
        (weight, number)
    }
}

fn sum<K>(link: Option<&Node<K>>) -> f64 {
    link.map_or(0.0, |n| n.sum)
}

fn count<K>(link: Option<&Node<K>>) -> usize {
    link.map_or(0, |n| n.count)
}

/// Splits a tree into the keys below `key` and the others.
fn split<K: Ord>(link: Link<K>, key: &K) -> (Link<K>, Link<K>) {
    let Some(mut node) = link else {
        return (None, None);
    };
    if node.key < *key {
        let (before, after) = split(node.right.take(), key);
        node.right = before;
        node.update();
        (Some(node), after)
    } else {
        let (before, after) = split(node.left.take(), key);
        node.left = after;
        node.update();
        (before, Some(node))
    }
}

/// Joins two trees; all keys of the first are below those of the second.
fn merge<K>(first: Link<K>, second: Link<K>) -> Link<K> {
    match (first, second) {
        (Some(mut a), Some(mut b)) => {
            if a.height >= b.height {
                a.right = merge(a.right.take(), Some(b));
                a.update();
                Some(a)
            } else {
                b.left = merge(Some(a), b.left.take());
                b.update();
                Some(b)
            }
        }
        (first, second) => first.or(second),
    }
}

/// Appends the keys of a tree in order until there are `count`.
fn collect<K: Copy>(node: Option<&Node<K>>, count: usize, keys: &mut Vec<K>) {
    if let Some(node) = node
        && keys.len() < count
    {
        collect(node.left.as_deref(), count, keys);
        if keys.len() < count {
            keys.push(node.key);
        }
        collect(node.right.as_deref(), count, keys);
    }
}

fn remove<K: Ord>(link: &mut Link<K>, key: &K) {
    let Some(node) = link else {
        return;
    };
    match key.cmp(&node.key) {
        std::cmp::Ordering::Less => remove(&mut node.left, key),
        std::cmp::Ordering::Greater => remove(&mut node.right, key),
        std::cmp::Ordering::Equal => {
            *link = merge(node.left.take(), node.right.take());
            return;
        }
    }
    node.update();
}
