//! Answers the calls of peers.

use std::sync::Arc;

use compact_str::CompactString;
use futures::StreamExt;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::id;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_trace;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Contents;
use gooseberry_wire::fleet::ContentsRequest;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::Finding;
use gooseberry_wire::fleet::Fleet;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::PROTOCOL_VERSION;
use gooseberry_wire::fleet::PromptTrace;
use gooseberry_wire::fleet::Trace;
use gooseberry_wire::fleet::Unmade;
use gooseberry_wire::fleet::WholeTrace;
use gooseberry_wire::fleet::ledger::EngineSummary;
use gooseberry_wire::fleet::placement::FINISHES_MAX;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::Malformed;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placed;
use gooseberry_wire::fleet::placement::Placement;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::peers::greeting::apply_exchange;
use crate::peers::greeting::apply_greeting;
use crate::peers::greeting::apply_heartbeat;
use crate::peers::greeting::message;
use crate::resumption;
use crate::resumption::Asker;

/// Accepts connections of peers and answers their calls, for as long as the
/// process runs.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    let mut incoming = control_stream::incoming(listener, context.metrics.control_bytes());
    // The connections end with this task, as they would with the process.
    let mut connections = JoinSet::new();
    while let Some(accepted) = incoming.next().await {
        while connections.try_join_next().is_some() {}
        let Ok(transport) = accepted else {
            continue;
        };
        let server = Server {
            context: context.clone(),
        };
        let requests = BaseChannel::with_defaults(transport).execute(server.serve());
        connections.spawn(requests.for_each_concurrent(None, |request| async {
            tokio::spawn(request).await.ok();
        }));
    }
}

#[derive(Clone)]
struct Server {
    context: Arc<Context>,
}

impl Server {
    async fn find_version(&self, service: &str, trace: &stream_trace::Trace) -> Finding {
        let service = name::Service::new(service);
        let finding = resumption::find_version(&self.context, &service, trace, Asker::Peer).await;
        finding.into()
    }
}

impl Fleet for Server {
    async fn greet(self, _: context::Context, greeting_of_peer: Greeting) -> Greeting {
        apply_greeting(&self.context, greeting_of_peer, None, None);
        message(&self.context).exchange.greeting
    }

    async fn protocol_version(self, _: context::Context) -> u32 {
        PROTOCOL_VERSION
    }

    async fn exchange(self, _: context::Context, message_of_peer: Exchange) -> Exchange {
        apply_exchange(&self.context, message_of_peer, None);
        message(&self.context).exchange
    }

    async fn heartbeat(self, _: context::Context, message_of_peer: Heartbeat) -> Heartbeat {
        apply_heartbeat(&self.context, message_of_peer);
        message(&self.context)
    }

    async fn changes(self, _: context::Context, after: u64) -> Changes {
        let state = self.context.state();
        state.replica().mirror().changes(Revision(after)).into()
    }

    async fn contents(self, _: context::Context, request: ContentsRequest) -> Contents {
        let state = self.context.state();
        state.replica().contents(request.into()).into()
    }

    async fn chunks(self, _: context::Context, digests: Vec<[u8; 32]>) -> Vec<Vec<u8>> {
        let digests: Vec<id::Digest> = digests.into_iter().map(id::Digest).collect();
        self.context.state().chunks(&digests)
    }

    async fn back_up_origin(self, _: context::Context, attempt: CompactString, origin: Origin) {
        let attempt = name::Attempt::new(&attempt);
        resumption::record_here(&self.context, &attempt, &origin.into(), "peer");
    }

    async fn origin(self, _: context::Context, attempt: CompactString) -> Option<Origin> {
        let attempt = name::Attempt::new(&attempt);
        let mut state = self.context.state();
        state.origins().get(&attempt).map(Into::into)
    }

    async fn make(self, _: context::Context, group: Group) -> Result<Made, Unmade> {
        let input_owners = group.keepers.iter().map(Into::into).collect();
        let origin = group.asker.into();
        let (service, group) = group.decode(self.context.now());
        let context = self.context.clone();
        let output = context
            .dispatcher
            .run_group(&self.context, &service, group, input_owners, origin)
            .await?;
        Ok(Made {
            handles: output
                .handles
                .iter()
                .map(|handle| handle.as_str().into())
                .collect(),
            domain: output.domain.as_str().into(),
            are_inputs_freed: output.are_inputs_freed,
        })
    }

    async fn place(self, _: context::Context, message: Placement) -> Result<Placed, NotPlaced> {
        let (service, group) = (name::Service::new(&message.service), message.group);
        let request = message.try_into().map_err(|why: Malformed| {
            log::warn!(service:% = service, group; "a malformed call for an engine was refused: {why}");
            NotPlaced::Elsewhere
        })?;
        let context = &self.context;
        let placed = context.placer.place(context, &service, group, &request);
        placed.map(Into::into)
    }

    async fn finished(self, _: context::Context, reports: Vec<Finish>) {
        if reports.len() > FINISHES_MAX {
            log::warn!(reports = reports.len(); "a call with too many reports of requests was refused");
            return;
        }
        let now = self.context.now();
        let mut malformed = 0;
        let mut first_fault = None;
        for report in reports {
            let (service, group) = (name::Service::new(&report.service), report.group);
            match report.try_into() {
                Ok(finish) => self.context.placer.finish(&service, group, &finish, now),
                Err(why) => {
                    let why: Malformed = why;
                    malformed += 1;
                    first_fault.get_or_insert(why);
                }
            }
        }
        if let Some(why) = first_fault {
            log::warn!(reports = malformed; "malformed reports of requests were refused, the first one since: {why}");
        }
    }

    async fn ledger(
        self,
        _: context::Context,
        service: CompactString,
        group: u32,
    ) -> Vec<EngineSummary> {
        let service = name::Service::new(&service);
        let now = self.context.now();
        let summaries = self.context.placer.summaries(&service, group, now);
        summaries.iter().map(Into::into).collect()
    }

    async fn stream_version(
        self,
        _: context::Context,
        service: CompactString,
        trace: Trace,
    ) -> Finding {
        self.find_version(&service, &trace.into()).await
    }

    async fn trace_stream(
        self,
        _: context::Context,
        service: CompactString,
        trace: PromptTrace,
    ) -> Finding {
        self.find_version(&service, &trace.into()).await
    }

    async fn trace_prompt(
        self,
        _: context::Context,
        service: CompactString,
        trace: WholeTrace,
    ) -> Finding {
        self.find_version(&service, &trace.into()).await
    }

    async fn free(self, _: context::Context, service: CompactString, handles: Vec<CompactString>) {
        let handles: Vec<name::Handle> = handles
            .iter()
            .map(|handle| name::Handle::new(handle))
            .collect();
        let service = name::Service::new(&service);
        self.context
            .dispatcher
            .free(&self.context, &service, &handles);
    }
}
