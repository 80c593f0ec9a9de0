// Package home shares upstreams out among the live entries by rendezvous
// hashing, for work that one entry is to do for all: reading reports, keeping
// the ledger of decode memory, sweeping. Homes are not agreed on: entries that
// see other sets of live entries may differ, and no promise rests on a home.
//
// # Usage
//
//	mine := home.Of(upstream, members.Live()) == self
package home
