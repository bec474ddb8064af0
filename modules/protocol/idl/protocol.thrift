// Messages between quetzal-router and quetzal-scheduler, and between schedulers.
// Every message describes state, so that a repeated, reordered or lost message does no harm.
namespace cpp quetzal.protocol

/** How a ticket ended at the router. */
enum ticket_end {
    ReturnedUnused = 0,
    RefusedUnrun = 1,
    AnsweredWhole = 2,
    Failed = 3,
    Cancelled = 4
}

/** What the router saw of a target while it used a ticket. */
enum target_signal {
    None = 0,
    Leaving = 1,
    ConnectionRefused = 2,
    ConnectionReset = 3,
    Overloaded = 4,
    Silent = 5
}

struct workspace_demand {
    1: string workspace,
    2: i32 waiting,
    /** Kind of the request at the head of the queue. */
    3: string headKind,
    /** Cost hint of the head in the service's unit; 0 when the caller gave none. */
    4: double headHint
}

struct service_demand {
    1: string serviceName,
    2: list<workspace_demand> workspaces
}

struct running_ticket {
    1: i64 epoch,
    2: i64 ticket,
    3: string target,
    4: string workspace,
    5: string requestKind,
    6: double hint,
    /** Units streamed so far. */
    7: double units
}

struct ticket_outcome {
    1: i64 epoch,
    2: i64 ticket,
    3: string target,
    4: string workspace,
    5: ticket_end ending,
    6: string requestKind,
    7: double hint,
    /** Units of the whole request; 0 unless any were produced. */
    8: double units,
    9: target_signal signal,
    /** Instance id that the target gave with its answer; empty when none came. */
    10: string targetInstance
}

/** Everything that a router holds of one shard. */
struct shard_usage {
    1: string shard,
    /** Highest epoch that this router has seen for the shard. */
    2: i64 epochKnown,
    /** Highest ticket of that epoch that this router has received. */
    3: i64 highestTicket,
    4: list<running_ticket> running,
    /** Ended tickets, repeated until a grant_batch acknowledges the report. */
    5: list<ticket_outcome> outcomes
}

/** Router to shard owner: demand and usage of the owner's shards. */
struct router_report {
    1: string router,
    2: i64 incarnation,
    3: i64 sequence,
    4: list<service_demand> demands,
    5: list<shard_usage> usages,
    6: i64 configurationRevision,
    7: bool stopping,
    /** True: nothing is left out. False: only what has changed since the last report to this owner. */
    8: bool complete,
    /** Asks for fleet views; a router asks one scheduler at a time. */
    9: bool wantsView
}

struct grant {
    1: string shard,
    2: i64 epoch,
    3: i64 ticket,
    4: string target,
    5: string address,
    6: string serviceName,
    7: string workspace,
    /** The grant lapses lifetimeMillis after the router sent the report of this sequence. */
    8: i64 reportSequence,
    9: i32 lifetimeMillis,
    /** Data centre of the target. */
    10: string dataCentre
}

struct revocation {
    1: string shard,
    2: i64 epoch,
    3: i64 ticket
}

/** Shard owner to router. */
struct grant_batch {
    1: string scheduler,
    2: i64 acknowledgedSequence,
    3: list<grant> grants,
    4: list<revocation> revocations
}

struct shard_owner {
    1: string shard,
    2: string serviceName,
    /** Empty when the shard spans data centres. */
    3: string dataCentre,
    /** Identifier of the VM whose scheduler owns the shard. */
    4: string owner,
    5: i64 epoch
}

/** Scheduler to its routers: who owns what, and which configuration is in force. */
struct fleet_view {
    1: string scheduler,
    2: i64 configurationRevision,
    4: list<shard_owner> owners,
    /** False when this scheduler can reach neither the store nor most members. */
    5: bool connected
}

/** Asks for the document of a revision higher than the given one. */
struct configuration_request {
    1: i64 haveRevision
}

struct configuration_update {
    1: i64 revision,
    2: string digest,
    3: string document
}

/** The owner of a shard as the sender knows it. */
struct ownership_claim {
    1: string shard,
    2: string vm,
    3: i64 incarnation,
    4: i64 epoch
}

/** Scheduler to scheduler. */
struct heartbeat {
    1: string vm,
    2: i64 incarnation,
    3: i64 sequence,
    4: i64 configurationRevision,
    /** Shards that the sender owns, and those that it lost to the receiver. */
    5: list<ownership_claim> claims,
    6: bool storeReachable,
    7: bool stopping
}

struct ledger_entry {
    1: string workspace,
    /** Charges of this writer for the workspace since the writer began. */
    2: double charged,
    /** Largest total that the writer has learned from the home. */
    3: double totalKnown,
    /** Virtual time added when the workspace became backlogged. */
    4: double lift,
    /** The part of the total that is the writer's own charge, as the home had it. */
    5: double included,
    /** Version of the total that totalKnown and included belong to. */
    6: i64 totalVersion,
    /** What the writer has raised the lift by and no home has told back yet. */
    7: double liftRaise
}

/** Shard owner to ledger home; cumulative values, so a repeat never counts twice. */
struct ledger_delta {
    1: string serviceName,
    /** Shard and epoch that charged. */
    2: string writer,
    3: i64 sequence,
    4: list<ledger_entry> entries,
    /** Incarnation of the home as the writer last heard it; 0 when never. */
    5: i64 homeIncarnation,
    /** Version of the home's last answer that the writer has taken; 0 asks for every total. */
    6: i64 heardVersion
}

/** Ledger home to shard owner: totals over all writers. */
struct ledger_totals {
    1: string serviceName,
    2: string home,
    3: i64 homeIncarnation,
    4: i64 acknowledgedSequence,
    5: list<ledger_entry> entries,
    6: string writer,
    /** The home's version that the entries bring the writer to. */
    7: i64 version
}

/** Asks a peer to renew this scheduler's lease at the store. */
struct renewal_request {
    1: string vm,
    2: i64 lease,
    3: i64 requestId
}

struct renewal_reply {
    1: i64 requestId,
    2: bool renewed,
    /** True when the store said that the lease does not exist. */
    3: bool refused
}
