// Package trusttest makes certificate files for tests. Nothing but tests uses it.
package trusttest
