//! Leases of the store. The ID of a lease names it only in the era that granted it: after
//! the store has come back from a copy, the lease may be gone or the ID somebody else's.

use std::time::Duration;

use hyssopstair_adapter::store;
use hyssopstair_wire::carried::StoreEra;
use tokio::time::Instant;

use crate::carry::store::StoreConnection;
use crate::carry::store::StoreError;
use crate::carry::store::StoreResponse;

/// A lease and the era that granted it.
#[derive(Debug, Clone, Copy)]
pub struct StoreLease {
    id: u64,
    era: StoreEra,
    granted_at: Instant,
}

impl StoreLease {
    /// Requests a lease that ends after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    pub async fn grant(
        connection: &mut StoreConnection,
        ttl: Duration,
        now: Instant,
    ) -> Result<Self, StoreError> {
        let request = store::grant_lease(ttl);
        let response = connection.call(request, Duration::ZERO).await?;
        let (id, _) = store::decode_lease(&response.body)?;
        Ok(Self {
            id,
            era: response.era,
            granted_at: now,
        })
    }

    /// Returns the era that granted the lease.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the time since the lease was granted.
    pub fn age(&self, now: Instant) -> Duration {
        now.duration_since(self.granted_at)
    }

    /// Renews the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the lease has ended, or the store has come back
    /// from a copy since it was granted.
    pub async fn renew(&self, connection: &mut StoreConnection) -> Result<(), StoreError> {
        let request = store::renew_lease(self.id);
        let response = connection.call(request, Duration::ZERO).await?;
        self.check_era(&response)
    }

    /// Writes keys under the lease, at most 32.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the lease has ended, or the store has come back
    /// from a copy since it was granted. In the last case the keys may have been written
    /// under the lease of somebody else.
    pub async fn put(
        &self,
        connection: &mut StoreConnection,
        entries: &[(&str, &[u8])],
    ) -> Result<(), StoreError> {
        let request = store::put_keys(entries, self.id);
        let response = connection.call(request, Duration::ZERO).await?;
        self.check_era(&response)
    }

    fn check_era(&self, response: &StoreResponse) -> Result<(), StoreError> {
        if response.era == self.era {
            Ok(())
        } else {
            Err(StoreError::Restored)
        }
    }
}
