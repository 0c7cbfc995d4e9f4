// Package storage keeps a segmented log and snapshots in one data folder.
//
// A Log owns the segment files of its folder. Each Append writes one frame (length, number and
// CRC32C) and syncs it before the next frame is written. When the log is opened, a damaged last
// frame cannot have been acknowledged and is truncated. A damaged frame followed by an intact one
// was acknowledged, so opening fails with CorruptError. Snapshots and small files are written
// under a temporary name, synced and renamed, and then the folder is synced.
//
// The package does not interpret the payload of frames and does not memory-map files. After a
// failed write or sync a Log rejects all further writes, because the state of the file is then
// unknown: the owner must stop acknowledging.
package storage
