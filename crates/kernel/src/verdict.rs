//! Whether a failed attempt may have run.
//!
//! [`Verdict::NotRun`] is used only where it is certain: no byte of the request was
//! sent, the connection was refused, or the target explicitly refused the request.
//! Any other failure before a complete answer is [`Verdict::MayHaveRun`]. A retry
//! requires `NotRun` or a repeatable request, and that the caller has received no
//! byte of the answer.

/// Whether a request ran at a target, as far as known after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The request did not run.
    NotRun,
    /// The request may have run; the router cannot determine it.
    MayHaveRun,
    /// The request ran, but its answer was not delivered completely.
    Ran,
}

impl Verdict {
    /// Name in headers, bodies, logs and metrics.
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
            /// All reasons, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name in answers, logs and metrics.
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
    /// Reason for refusing a request.
    Refusal {
        /// The customer's queue at this router is full.
        QueueFull = "queue_full",
        /// The request waited longer than the queue timeout.
        QueueTimeout = "queue_timeout",
        /// The caller's deadline passed.
        DeadlinePassed = "deadline_passed",
        /// No target in service has the requested service and model.
        NoTarget = "no_target",
        /// The customer is no longer in the configuration.
        CustomerRemoved = "customer_removed",
        /// The service is no longer in the configuration.
        ServiceRemoved = "service_removed",
        /// This router is draining.
        Draining = "draining",
        /// No configuration has been accepted yet.
        NotConfigured = "not_configured",
        /// The target failed and the request may not be retried.
        TargetFailed = "target_failed",
        /// The retry budget is spent.
        RetryBudget = "retry_budget",
        /// The caller disconnected before the final answer.
        CallerLeft = "caller_left",
    }
);

reasons!(
    /// Reason for the failure of an attempt.
    Failure {
        /// The target refused the connection.
        ConnectRefused = "connect_refused",
        /// No connection within the connect timeout.
        ConnectTimeout = "connect_timeout",
        /// The target reported that it did not run the request.
        TargetRefused = "target_refused",
        /// The connection was lost after the request was sent.
        ConnectionLost = "connection_lost",
        /// The answer timed out.
        AnswerTimeout = "answer_timeout",
        /// The answer was truncated or violated the protocol.
        AnswerBroken = "answer_broken",
        /// The attempt was cancelled by the kernel.
        Cancelled = "cancelled",
    }
);
