// Package engine is a small stand-in for a model engine.
//
// It batches continuously, streams tokens, caches prompt prefixes in limited memory, resumes
// and cancels streams, reports its load late and publishes cache events with gaps. It knows
// no priorities and admits requests as they come. The text of an answer depends only on the
// prompt, so that a test can tell a whole answer from a cut or mixed one.
package engine
