// Package engine is a small stand-in for a model engine.
//
// It batches continuously, streams tokens, keeps an LRU cache of prompt prefixes, resumes and
// cancels streams, reports its load with a delay and publishes cache events with gaps. It runs
// orders to load and unload one at a time and records every order that arrives; it checks
// fencing tokens or ignores them. It has no priorities and admits requests as they arrive. The
// text of an answer depends only on the prompt, so that a test can tell a complete answer from
// a truncated or mixed one.
package engine
