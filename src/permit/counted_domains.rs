use std::collections::BTreeSet;

use crate::id::DomainId;

/// Counts the failure domains whose share of the permits a holder may grant.
///
/// `own` is the holder's domain, `reachable` the set of domains that the holder reaches, including
/// its own, and `reports` the sets of reachable domains reported by its live peers. Another domain
/// counts only if it has a report and all its reports equal `reachable`. If A reaches B and B
/// reaches C but A does not reach C, A and C may have different holders; without this rule both
/// would count B and grant its share twice.
#[must_use]
pub fn counted_domains(
    own: &DomainId,
    reachable: &BTreeSet<DomainId>,
    reports: &[(DomainId, BTreeSet<DomainId>)],
) -> u32 {
    let is_counted = |domain: &DomainId| {
        let mut reports = reports.iter().filter(|(of, _)| of == domain).peekable();
        reports.peek().is_some() && reports.all(|(_, reached)| reached == reachable)
    };
    let others = reachable
        .iter()
        .filter(|domain| *domain != own && is_counted(domain))
        .count();
    u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1)
}
