use clap::Args;

use crate::error::InputFault;
use crate::table::{TableFiles, TableSet};

/// Arguments that name the files of the tables.
#[derive(Debug, Clone, Args)]
pub struct FileArgs {
    /// The file with the routes.
    #[arg(long, value_name = "FILE", default_value = "routes.toml")]
    pub routes: String,
    /// The file with the pools and the weight stores.
    #[arg(long, value_name = "FILE", default_value = "pools.toml")]
    pub pools: String,
}

impl FileArgs {
    /// Reads and checks both files.
    ///
    /// # Errors
    ///
    /// Returns all faults of both files.
    pub fn read(&self) -> Result<(TableFiles, TableSet), Vec<InputFault>> {
        let files = TableFiles::from_paths(&self.routes, &self.pools)?;
        let (tables, _) = files.parse()?;
        Ok((files, tables))
    }
}
