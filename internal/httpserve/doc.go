// Package httpserve runs the HTTP servers of the front ends and writes JSON answers and problem
// documents.
package httpserve
