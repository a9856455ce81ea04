//! The slab that stores connections by token.

use storage_gateway::context::slab::Slab;

/// An event for a connection that was closed earlier in the same turn of the event loop must not
/// reach the connection that reuses its slot in the slab.
#[test]
fn tokens_are_never_reused() {
    let mut slab = Slab::default();
    let closed = slab.reserve();
    slab.put(closed, 'a');
    assert_eq!(slab.free(closed), Some('a'));
    let successor = slab.reserve();
    slab.put(successor, 'b');
    assert_ne!(closed, successor);
    assert_eq!(slab.get(closed), None);
    assert_eq!(slab.free(closed), None);
    assert_eq!(slab.get(successor), Some(&'b'));
    slab.put(successor, 'c');
    assert_eq!(slab.iter().collect::<Vec<_>>(), [(successor, &'c')]);
}
