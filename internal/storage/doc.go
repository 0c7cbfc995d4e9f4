// Package storage keeps a segmented log and snapshots in one data folder.
//
// A Log owns the files of its folder. Each Append writes one frame (length, number and CRC32C)
// and syncs it; the next frame is written only after that. On opening, a damaged frame that is
// the last one was never acknowledged and is cut; a damaged frame with a whole one behind it
// was, and opening fails with CorruptError. Snapshots and small files are written under a
// temporary name, synced and renamed, and the folder is synced.
//
// The package knows nothing about the content of frames. It maps no file into memory. After a
// failed write or sync a Log refuses all further writes, because the state of the file is then
// unknown: the owner has to stop acknowledging.
package storage
