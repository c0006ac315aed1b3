use crate::error::{InputFault, InputPlace};

/// The unparsed sources of the settings.
#[derive(Debug, Clone, Default)]
pub struct SettingSources {
    /// The path and the content of the settings file.
    pub file: Option<(String, String)>,
    /// Environment variables; those without the prefix `COMFREYCHUTE_` are ignored.
    pub variables: Vec<(String, String)>,
    /// Overrides of the form `section.key=value`, from `--set` flags.
    pub flags: Vec<String>,
}

impl SettingSources {
    /// Reads a settings file and the environment variables of the process.
    ///
    /// # Errors
    ///
    /// Returns a fault with the path if the file cannot be read.
    pub fn from_path(path: &str, flags: &[String]) -> Result<Self, InputFault> {
        let text = std::fs::read_to_string(path).map_err(|error| InputFault {
            place: InputPlace::File(path.to_owned()),
            subject: "settings".to_owned(),
            problem: format!("the file cannot be read: {error}"),
            remedy: "check the path and the permissions".to_owned(),
        })?;
        Ok(Self {
            file: Some((path.to_owned(), text)),
            variables: std::env::vars_os()
                .map(|(name, value)| {
                    // A lossy conversion keeps values that are not valid UTF-8, so that they are
                    // checked like all others instead of being ignored.
                    let name = name.to_string_lossy().into_owned();
                    (name, value.to_string_lossy().into_owned())
                })
                .collect(),
            flags: flags.to_vec(),
        })
    }
}
