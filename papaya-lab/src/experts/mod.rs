//! Compares placement policies on one lock-step group in virtual time.

mod constants;
mod group;
mod output;
mod policy;
mod run;
mod trace;

#[cfg(test)]
mod tests;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use output::{Figures, HEAD, Row, line, plot, write_series};
use policy::Policy;
use run::{Outcome, Setup, run};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use trace::Kind;

/// Describes the subcommand `experts`.
pub(crate) fn command() -> Command {
    let list = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_delimiter(',').action(ArgAction::Append).help(help)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..=100_000))
            .help(help)
    };
    Command::new("experts")
        .about("Compares placement policies on a lock-step group in virtual time")
        .arg(list("trace", "cellar, order-desk, flip-flop, straggler, static; all if absent"))
        .arg(list("policy", "static, full, planned-cellar, planned-order-desk; all if absent"))
        .arg(
            list("ranks", "sizes of the group; 16,64,256 if absent")
                .value_parser(value_parser!(u16).range(2..=256)),
        )
        .arg(number("seeds", "5", "seeds for each setup"))
        .arg(number("layers", "12", "layers with experts"))
        .arg(number("minutes", "120", "virtual time of a run"))
        .arg(
            Arg::new("out")
                .long("out")
                .default_value("experts-out")
                .value_parser(value_parser!(PathBuf))
                .help("folder for the CSV and SVG files"),
        )
}

/// Runs the comparison.
pub(crate) fn execute(matches: &ArgMatches) -> ExitCode {
    match compare(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papaya-lab experts: {error}");
            ExitCode::FAILURE
        }
    }
}

fn compare(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let traces = pick(matches, "trace", &Kind::ALL)?;
    let policies = pick(matches, "policy", &Policy::ALL)?;
    let ranks: Vec<u16> =
        matches.get_many("ranks").map_or(vec![16, 64, 256], |found| found.copied().collect());
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let out = matches.get_one::<PathBuf>("out").ok_or("no folder")?;
    std::fs::create_dir_all(out)?;
    let mut table = format!("{HEAD}\n");
    println!("{HEAD}");
    for &(trace, kind) in &traces {
        for &ranks in &ranks {
            let base = Setup {
                kind,
                policy: Policy::Static,
                ranks,
                layers: number("layers") as u16,
                seconds: number("minutes") * 60,
                seed: 0,
            };
            let rows = one_group(out, trace, base, number("seeds"), &policies)?;
            for row in rows {
                let text = line(&row);
                if row.seed == "median" {
                    println!("{text}");
                }
                table.push_str(&text);
                table.push('\n');
            }
        }
    }
    std::fs::write(out.join("experts.csv"), table)?;
    Ok(())
}

/// Runs every policy on the same traces; writes the first seed second by second.
fn one_group(
    out: &Path,
    trace: &'static str,
    base: Setup,
    seeds: u64,
    policies: &[(&'static str, Policy)],
) -> Result<Vec<Row>, Box<dyn std::error::Error>> {
    let mut rows = Vec::new();
    let mut first: Vec<(&'static str, Outcome)> = Vec::new();
    let ranks = base.ranks;
    for &(name, policy) in policies {
        let mut all = Vec::new();
        for (seed, outcome) in run_seeds(Setup { policy, ..base }, seeds) {
            let figures = Figures::of(&outcome);
            all.push(figures);
            rows.push(Row { trace, policy: name, ranks, seed: seed.to_string(), figures });
            if seed == 1 {
                first.push((name, outcome));
            }
        }
        let figures = Figures::median(&all);
        rows.push(Row { trace, policy: name, ranks, seed: "median".to_owned(), figures });
    }
    let stem = format!("{trace}-{ranks}");
    write_series(&out.join(format!("{stem}.csv")), &first)?;
    plot(&out.join(format!("{stem}.svg")), &format!("{trace}, {ranks} ranks"), &first)?;
    Ok(rows)
}

/// Runs the seeds side by side, one thread each.
fn run_seeds(base: Setup, seeds: u64) -> Vec<(u64, Outcome)> {
    std::thread::scope(|scope| {
        let start = |seed| (seed, scope.spawn(move || run(Setup { seed, ..base })));
        let threads: Vec<_> = (1..=seeds).map(start).collect();
        let join = |(seed, thread): (u64, std::thread::ScopedJoinHandle<'_, Outcome>)| {
            thread.join().map(|outcome| (seed, outcome)).ok()
        };
        threads.into_iter().filter_map(join).collect()
    })
}

fn pick<T: Copy>(
    matches: &ArgMatches,
    name: &str,
    all: &[(&'static str, T)],
) -> Result<Vec<(&'static str, T)>, String> {
    let Some(wanted) = matches.get_many::<String>(name) else {
        return Ok(all.to_vec());
    };
    let find = |text: &String| {
        let found = all.iter().find(|(known, _)| known == text);
        found.copied().ok_or(format!("no {name} called '{text}'"))
    };
    wanted.map(find).collect()
}
