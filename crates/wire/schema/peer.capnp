@0xb3f1c5a2d4e60718;
# Protocol between the daemons.

struct Envelope {
  # One message from one instance to another.
  protocol @0 :UInt16;
  # Version of the message encoding. A receiver refuses a version that it
  # does not know.
  sender @1 :UInt64;
  # Identifier of the sending instance.
  recipient @2 :UInt64;
  # Identifier of the instance that the message is meant for, or 0 when the
  # sender only knows an address.
  incarnation @3 :UInt64;
  # Incarnation of the sender.
  class @4 :Class;
  body @5 :Data;
  # The message, encoded with MessagePack. In version 2, a frame of it: an
  # identifier of the message, the position of the part and the length of the
  # whole in bytes, each as 8 bytes in little-endian order, and the part.
  senderName @6 :Text;
  senderAddress @7 :Text;
}

enum Class {
  membership @0;
  consensus @1;
  sync @2;
  query @3;
  control @4;
}

interface Peer {
  # Every daemon serves this interface on its peer address.
  deliver @0 (envelope :Envelope) -> ();
  # Hands over one message. An answer, if there is one, comes as a message of
  # its own.
}
