//! Output of figures as lines of `key=value` pairs.

/// Bound that a figure should meet.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    AtMost(f64),
    AtLeast(f64),
}

/// Prints a figure with its target and whether it meets it.
pub fn figure(experiment: &str, policy: &str, seed: u64, name: &str, value: f64, target: Target) {
    let (bound, met) = match target {
        Target::AtMost(bound) => (format!("<={bound}"), value <= bound),
        Target::AtLeast(bound) => (format!(">={bound}"), value >= bound),
    };
    println!(
        "experiment={experiment} policy={policy} seed={seed} {name}={value:.3} \
         target={bound} met={met}"
    );
}

/// Prints a figure without a target.
pub fn figure_without_target(experiment: &str, policy: &str, seed: u64, name: &str, value: f64) {
    println!("experiment={experiment} policy={policy} seed={seed} {name}={value:.3}");
}
