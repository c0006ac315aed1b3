use comfreychute::{Error, ErrorKind, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::watch;

/// Holds settings that tests and control endpoints change while a stand-in runs.
#[derive(Debug, Clone)]
pub struct SettingsCell<T> {
    sender: watch::Sender<T>,
}

impl<T: Clone + Serialize + DeserializeOwned> SettingsCell<T> {
    /// Wraps the first settings.
    #[must_use]
    pub fn new(settings: T) -> Self {
        Self {
            sender: watch::Sender::new(settings),
        }
    }

    /// Returns the present settings.
    #[must_use]
    pub fn read(&self) -> T {
        self.sender.borrow().clone()
    }

    /// Subscribes to changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<T> {
        self.sender.subscribe()
    }

    /// Changes the settings in one step.
    ///
    /// # Panics
    ///
    /// Panics if the channel did not run the closure, which would be an error of the channel.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut outcome = None;
        self.sender
            .send_modify(|settings| outcome = Some(change(settings)));
        outcome.expect("the channel should run the closure once")
    }

    /// Replaces the settings that a JSON object names.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an object of known keys with valid values; nothing changes then.
    pub fn merge(&self, text: &[u8]) -> Result<()> {
        let fail = |error: serde_json::Error| {
            Error::new(ErrorKind::Settings, format!("control request: {error}"))
        };
        let changes: serde_json::Map<String, Value> = serde_json::from_slice(text).map_err(fail)?;
        self.change(|settings| {
            let mut value = serde_json::to_value(&*settings).map_err(fail)?;
            if let Value::Object(fields) = &mut value {
                fields.extend(changes);
            }
            *settings = serde_json::from_value(value).map_err(fail)?;
            Ok(())
        })
    }
}
