@0xb7c3f1f0a8d25e41;
# What daemons say to each other. Data fields hold values in the codec of the
# replicated log, so that a command has one encoding on disk and on the wire.

interface Peer {
  hello @0 (hello :Hello) -> (welcome :Welcome);
  # First call on each connection; refused when the versions differ.

  ask @1 (asks :List(Data)) -> (answers :List(Data));
  # Requests that the leader decides, in one batch. Refused by a daemon that
  # does not lead.

  sync @2 (state :EntryState) -> (news :News);
  # An entry tells what it has put in force and asks for what is newer. The
  # answer renews its configuration lease. Held back while there is no news.

  raft @3 (from :Text, messages :List(Data)) -> ();
  # Messages of the consensus between voters, and the name of their sender: a
  # replica that knows no members yet must still be able to answer.

  join @4 (name :Text, address :Text, replica :UInt64) -> ();
  # A voter with an empty disk asks the leader to be taken in.
}

struct Hello {
  version @0 :UInt32;
  entry @1 :Text;
  incarnation @2 :UInt64;
}

struct Welcome {
  version @0 :UInt32;
  entry @1 :Text;
  replica @2 :UInt64;
  # Identity of its disk, 0 when it keeps no state.
  empty @3 :Bool;
  # Its disk has never held anything.
  leads @4 :Bool;
  leader @5 :Text;
  # Who leads, as far as it knows; may be empty.
}

struct EntryState {
  entry @0 :Text;
  incarnation @1 :UInt64;
  callers @2 :Text;
  zone @3 :Text;
  acked @4 :UInt64;
  draining @5 :Bool;
  term @6 :UInt64;
  # The leader's term that tableVersion belongs to.
  tableVersion @7 :UInt64;
  letGo @8 :List(Text);
  # Runners that this entry no longer routes to.
  owned @9 :List(Data);
  # Runners that it routes to, told once to each new leader.
  settled @11 :Bool;
  # It knows that this leader's table is complete.
  leaving @10 :Bool;
  # It has stopped serving: the last word of a daemon that exits.
}

struct News {
  term @0 :UInt64;
  revision @1 :UInt64;
  documents @2 :List(Data);
  tableVersion @3 :UInt64;
  runners @4 :List(Data);
  entries @5 :List(EntryInfo);
  settled @6 :Bool;
  # The table is complete: all entries that may serve had time to say what they
  # own, and runners without an owner were given one.
}

struct EntryInfo {
  name @0 :Text;
  callers @1 :Text;
  zone @2 :Text;
  draining @3 :Bool;
}
