//! Cost of a query decision, from the request to the answer.

fn main() {}
