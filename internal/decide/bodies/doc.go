// Package bodies decides which bodies of callers' requests an instance has memory for.
//
// A Budget owns the number of bytes that are reserved, and how fast they have come free. It does no I/O and
// holds no body. Bytes that are not released stay reserved: whoever reserves has to release. A body that
// does not fit is refused at once with the time in which enough bytes will probably be free.
package bodies
