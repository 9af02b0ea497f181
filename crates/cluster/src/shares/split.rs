//! Splits an amount between hosts by their demand.

/// Splits `total` by max-min fairness: no host gets more than its demand while the demand of another is not met. The
/// rest is split equally between all hosts, or all `members` if there are more; the parts never add up to more than
/// `total`.
///
/// ```
/// use mangogw_cluster::shares::split;
/// assert_eq!(split(90, &[10, 100, 100], 3), [10, 40, 40]);
/// assert_eq!(split(90, &[0, 30], 4), [15, 45]);
/// ```
pub fn split(total: u64, demand: &[u64], members: usize) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demand.len()).collect();
    order.sort_by_key(|&index| demand[index]);
    let mut parts = vec![0; demand.len()];
    let mut rest = total;
    for (done, &index) in order.iter().enumerate() {
        let even = rest / (demand.len() - done) as u64;
        parts[index] = demand[index].min(even);
        rest -= parts[index];
    }
    let spare = rest / demand.len().max(members).max(1) as u64;
    parts.iter().map(|part| part + spare).collect()
}

/// Splits `total` into multiples of `unit` as [`split`] does; remaining units go to the first hosts whose demand is not
/// met.
pub fn split_units(total: u64, demand: &[u64], members: usize, unit: u64) -> Vec<u64> {
    let units: Vec<u64> = demand.iter().map(|wanted| wanted.div_ceil(unit)).collect();
    let mut parts = split(total / unit, &units, members);
    let mut rest = (total / unit).saturating_sub(parts.iter().sum());
    for (part, wanted) in parts.iter_mut().zip(&units) {
        let extra = rest.min(wanted.saturating_sub(*part)).min(1);
        *part += extra;
        rest -= extra;
    }
    parts.iter().map(|part| part * unit).collect()
}
