//! What the command line says.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

use crate::failure::Failure;

/// How answers are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For scripts.
    Json,
}

/// A command line, taken apart.
#[derive(Debug, Default)]
pub struct Args {
    /// The command's name, if any.
    pub command: Option<String>,
    /// What follows the command, in order.
    pub values: Vec<String>,
    /// Names of the options that were given.
    pub given: Vec<&'static str>,
    /// Whether help is asked for.
    pub help: bool,
    /// Whether the version is asked for.
    pub version: bool,
    /// Nodes to ask, in order.
    pub nodes: Vec<SocketAddr>,
    /// File that holds the token.
    pub token_file: Option<PathBuf>,
    /// How to write answers.
    pub format: Format,
    /// Why a change is made.
    pub reason: Option<String>,
    /// The revision that a change must follow.
    pub expect: Option<u64>,
    /// Identity of a change whose outcome isn't known.
    pub change_id: Option<String>,
    /// Most changes to show.
    pub limit: Option<u64>,
    /// Where to write files.
    pub out: Option<PathBuf>,
}

impl Args {
    /// Reads a command line, program name first.
    ///
    /// # Errors
    ///
    /// When an option is unknown or its value can't be read.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, Failure> {
        let mut parser = lexopt::Parser::from_iter(arguments);
        let mut args = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => args.help = true,
                Short('V') | Long("version") => args.version = true,
                Value(value) if args.command.is_none() => args.command = Some(value.string()?),
                Value(value) => args.values.push(value.string()?),
                Long("node") => args.nodes.push(node(&parser.value()?.string()?)?),
                Long("token-file") => args.token_file = Some(PathBuf::from(parser.value()?)),
                Long("format") => args.format = format(&parser.value()?.string()?)?,
                Long(name) => {
                    let name = name.to_owned();
                    args.own_option(&name, &mut parser)?;
                }
                Short(_) => return Err(argument.unexpected().into()),
            }
        }
        Ok(args)
    }

    /// Whether an option was given.
    pub fn has(&self, option: &str) -> bool {
        self.given.contains(&option)
    }

    /// Reads an option that only some commands take.
    fn own_option(&mut self, name: &str, parser: &mut lexopt::Parser) -> Result<(), Failure> {
        let known = match name {
            "reason" => {
                self.reason = Some(parser.value()?.string()?);
                "reason"
            }
            "expect" => {
                self.expect = Some(parser.value()?.parse()?);
                "expect"
            }
            "change-id" => {
                self.change_id = Some(parser.value()?.string()?);
                "change-id"
            }
            "limit" => {
                self.limit = Some(parser.value()?.parse()?);
                "limit"
            }
            "out" => {
                self.out = Some(PathBuf::from(parser.value()?));
                "out"
            }
            "all" => "all",
            "logs" => "logs",
            "exit-code" => "exit-code",
            "allow-removals" => "allow-removals",
            _ => return Err(Failure::Usage(format!("there is no option --{name}"))),
        };
        self.given.push(known);
        Ok(())
    }
}

/// Reads a node's operators' address.
///
/// # Errors
///
/// When it isn't an IP number and a port.
pub fn node(text: &str) -> Result<SocketAddr, Failure> {
    text.trim().parse().map_err(|_| {
        Failure::Usage(format!(
            "{text} is no node; write an IP number and a port, such as 10.0.0.7:8082"
        ))
    })
}

fn format(text: &str) -> Result<Format, Failure> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err(Failure::Usage("the format is text or json".to_owned())),
    }
}
