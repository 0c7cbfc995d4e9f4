// Package trusttest creates certificate files for tests. Only tests use it.
package trusttest
