// Package httpserve runs the HTTP listeners of the front ends and writes problem documents.
package httpserve
