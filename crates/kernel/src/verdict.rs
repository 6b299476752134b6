//! Whether a failed attempt may have run.
//!
//! Only the place that knows may say [`Verdict::NotRun`]: a request whose first
//! byte was never sent, a refused connection, or a target's own explicit
//! refusal. Everything else that goes wrong before a whole answer is
//! [`Verdict::MayHaveRun`]. A retry needs `NotRun`, or a repeatable request of
//! whose answer the caller has not seen a byte.

/// What is known about the run of a request after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run; nobody on this side can tell.
    MayHaveRun,
    /// The request certainly ran, though its answer was not delivered whole.
    Ran,
}

impl Verdict {
    /// The name used in headers, bodies, logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $kind:ident { $($(#[$item:meta])* $variant:ident = $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $kind {
            $($(#[$item])* $variant,)*
        }

        impl $kind {
            /// Every reason, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name used in answers, logs and metrics.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

reasons!(
    /// Why the kernel refuses a request.
    Refusal {
        /// The customer's queue at this router is full.
        QueueFull = "queue_full",
        /// The request waited longer than the queue timeout.
        QueueTimeout = "queue_timeout",
        /// The caller's deadline passed.
        DeadlinePassed = "deadline_passed",
        /// No target has what the request names.
        NoTarget = "no_target",
        /// The customer is no longer in the configuration.
        CustomerRemoved = "customer_removed",
        /// The service is no longer in the configuration.
        ServiceRemoved = "service_removed",
        /// This router is draining.
        Draining = "draining",
        /// No configuration has been accepted yet.
        NotConfigured = "not_configured",
        /// The target failed and the request may not be tried again.
        TargetFailed = "target_failed",
        /// The retry budget is spent.
        RetryBudget = "retry_budget",
        /// The caller went away while the request was with us.
        CallerLeft = "caller_left",
    }
);

reasons!(
    /// Why an attempt failed and, where allowed, is tried again.
    Failure {
        /// The target refused the connection.
        ConnectRefused = "connect_refused",
        /// No connection within the time allowed.
        ConnectTimeout = "connect_timeout",
        /// The target said that it did not run the request.
        TargetRefused = "target_refused",
        /// The connection was lost after the request was sent.
        ConnectionLost = "connection_lost",
        /// The answer did not come in time.
        AnswerTimeout = "answer_timeout",
        /// The answer was cut short or not what the protocol allows.
        AnswerBroken = "answer_broken",
        /// The attempt was cancelled by the kernel.
        Cancelled = "cancelled",
    }
);
