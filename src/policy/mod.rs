//! Decisions on placement, residency, order of service and load permits, without input or output.
