/*!
Cap'n Proto schema of the peer protocol.

The generated code is committed, so the build needs no schema compiler. To
regenerate it after a change of `schema/peer.capnp`, run `capnp compile
-orust:src --src-prefix=schema schema/peer.capnp` in this crate, with
`capnp` and `capnpc-rust` installed.
*/

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod peer_capnp;
