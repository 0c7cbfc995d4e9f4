// Package quarantine finds the parts of prompts that crash the servers which begin to answer them, and
// holds back requests with such parts.
//
// A Ledger owns the evidence of one process: for each part the servers that crashed while a request with
// it had no event yet. Ledgers of several instances are merged, in any order and any number of times, to the
// same state. An answer that begins proves all parts of its request sound and clears the evidence
// against them. A Gate decides about requests from an immutable View of the ledger; after a quarantine the
// instances send one probe after another.
//
// It performs no I/O and reads no clock. The caller passes a clock that counts the time during which the
// machine is suspended. Everything is bounded: a full ledger forgets the parts that matter least. Nothing
// fails; lost evidence costs further servers, never an answer.
package quarantine
