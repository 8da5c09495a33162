//! The history's file, a redb database. Nothing is synced: what was written outlasts SIGKILL, and a lost machine loses the state
//! folder in any case. The file refuses to grow beyond its share of the disk.

use redb::{Builder, Database, StorageBackend};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

const CACHE: usize = 256 * 1024;

#[derive(Debug)]
struct Bounded {
    file: File,
    most: u64,
}

impl StorageBackend for Bounded {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        // A damaged length must not allocate all memory.
        if offset.saturating_add(len as u64) > self.most.max(self.len()?) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut out = vec![0; len];
        self.file.read_exact_at(&mut out, offset)?;
        Ok(out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        if len > self.most && len > self.len()? {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.set_len(len)
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write_all_at(data, offset)
    }
}

fn try_open(path: &Path, most: u64) -> Result<Database, String> {
    let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path);
    let file = file.map_err(|e| e.to_string())?;
    // The library panics on some damage.
    let open = AssertUnwindSafe(|| {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).create_with_file_format_v3(true);
        let mut db = builder.create_with_backend(Bounded { file, most }).map_err(|e| e.to_string())?;
        db.check_integrity().map_err(|e| e.to_string())?.then_some(db).ok_or("it was damaged".to_owned())
    });
    catch_unwind(open).unwrap_or_else(|_| Err("it can't be read".to_owned()))
}

/// Opens the file, which may have `most` bytes. A damaged file is replaced by an empty one, and `true` is returned: its forget orders
/// are lost with it, as in a folder that was restored from an older copy.
pub(super) fn open(path: &Path, most: u64) -> io::Result<(Database, bool)> {
    if let Ok(db) = try_open(path, most) {
        return Ok((db, false));
    }
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    try_open(path, most).map(|db| (db, true)).map_err(io::Error::other)
}
