// Package engine is a small stand-in for a model engine.
//
// It batches continuously, streams tokens, caches prompt prefixes in limited memory, resumes
// and cancels streams, reports its load late and publishes cache events with gaps. It takes
// orders to load and unload, one at a time, and records each order that arrives; it checks
// fencing tokens or ignores them. It knows no priorities and admits requests as they come. The text of an answer depends only on the
// prompt, so that a test can tell a whole answer from a cut or mixed one.
package engine
