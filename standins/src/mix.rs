//! A mix of requests over the templates of a set of declarations.

use chivevalve::declaration::DeclarationSet;
use chivevalve::schema::declaration::Template;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::caller::{Errand, Question};

/// Exponent of the templates' popularity by rank.
const SKEW: f64 = 1.0;

/// What a request asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// A completion.
    Completion(Question),
    /// A call to a plain service.
    Call(Errand),
}

/// A request, with what its answer has to prove.
#[derive(Debug, Clone)]
pub struct Request {
    /// The client account.
    pub account: String,
    /// The template.
    pub template: String,
    /// The template's class.
    pub class: String,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Adapter and version that must answer, for an engine.
    pub adapter: Option<String>,
    /// The request's own name, unique in the mix.
    pub mark: String,
    /// What it asks for.
    pub work: Work,
}

/// An endless, seeded mix.
#[derive(Debug)]
pub struct Mix {
    templates: Vec<Template>,
    /// Sums of the popularity up to each template.
    sums: Vec<f64>,
    random: Pcg64,
    seed: u64,
    made: u64,
}

impl Mix {
    /// Makes a mix over all templates; the order of popularity is drawn from the seed.
    ///
    /// # Panics
    ///
    /// When there is no template.
    #[must_use]
    pub fn new(declarations: &DeclarationSet, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut templates = declarations.templates.values().cloned().collect::<Vec<_>>();
        assert!(!templates.is_empty(), "a mix needs templates");
        for last in (1..templates.len()).rev() {
            templates.swap(last, random.random_range(0..=last));
        }
        let sums = (1_u32..)
            .zip(&templates)
            .scan(0.0, |sum, (rank, template)| {
                // A plain service has one template for all that each adapter has its own for.
                let share = if template.adapter.is_empty() {
                    1.0
                } else {
                    f64::from(rank).powf(-SKEW)
                };
                *sum += share;
                Some(*sum)
            })
            .collect();
        Self {
            templates,
            sums,
            random,
            seed,
            made: 0,
        }
    }

    /// Makes the next request.
    pub fn next_request(&mut self) -> Request {
        let whole = self.sums.last().copied().unwrap_or_default();
        let drawn = self.random.random_range(0.0..whole);
        let index = self.sums.partition_point(|sum| *sum <= drawn);
        self.made += 1;
        let mark = format!("m{}-{}", self.seed, self.made);
        let template = self.templates[index].clone();
        self.request(&template, mark)
    }

    /// Makes one request of each template.
    pub fn each(&mut self) -> Vec<Request> {
        let templates = self.templates.clone();
        let make = |template: &Template| {
            self.made += 1;
            let mark = format!("m{}-{}", self.seed, self.made);
            self.request(template, mark)
        };
        templates.iter().map(make).collect()
    }

    fn request(&mut self, template: &Template, mark: String) -> Request {
        let work = if template.adapter.is_empty() {
            Work::Call(errand(template, &mark))
        } else {
            Work::Completion(self.question(template, &mark))
        };
        let adapter = format!("{}@{}", template.adapter, template.version);
        Request {
            account: template.account.clone(),
            template: template.name.clone(),
            class: template.class.clone(),
            idempotent: template.idempotent,
            adapter: (!template.adapter.is_empty()).then_some(adapter),
            mark,
            work,
        }
    }

    fn question(&mut self, template: &Template, mark: &str) -> Question {
        let bulk = template.class == "bulk";
        Question {
            template: template.name.clone(),
            chat: self.random.random_bool(0.5),
            // Nobody waits for bulk work, so it is taken whole.
            stream: !bulk,
            tokens: self.random.random_range(if bulk { 48..96 } else { 16..48 }),
            mark: mark.to_owned(),
        }
    }
}

fn errand(template: &Template, mark: &str) -> Errand {
    let (method, path, body) = if template.idempotent {
        (
            Method::GET,
            format!("/items/{mark}?fields=all"),
            String::new(),
        )
    } else {
        (
            Method::POST,
            "/items".to_owned(),
            format!("{{\"item\":\"{mark}\"}}"),
        )
    };
    Errand {
        template: template.name.clone(),
        method,
        path,
        mark: mark.to_owned(),
        body,
        keyed: false,
    }
}
