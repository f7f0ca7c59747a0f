/** Decides which connections of callers a process can afford. It knows bytes and times only, no sockets. */
import type { ByteBudget } from "./byteBudget.js";

/**
 * What a connection makes the process hold: its own objects, heads that have not been received in full, requests with
 * their objects, bodies of requests, and responses that its caller has not received.
 */
export type ResourceKind = "connection" | "head" | "request" | "body" | "response";

/** A connection as the budget sees it. */
export interface ResourceHolder {
    /** Whether its caller has done its part: its only request has been received in full, and there is nothing to read yet. */
    readonly isWaitingForHost: () => boolean;
    /** Closes the connection. `ResourceAccount.close` must be called once it is closed. */
    readonly close: (cause: ResourceKind) => void;
}

export interface ResourceAccount {
    /** Takes bytes. Returns `false`, without taking any, if others do not make room for them. */
    readonly take: (kind: ResourceKind, bytes: number) => boolean;
    readonly give: (kind: ResourceKind, bytes: number) => void;
    /** Records bytes that the caller has sent or received. */
    readonly recordTransfer: (bytes: number) => void;
    /** Returns the part of the account that pays for one kind. */
    readonly pay: (kind: ResourceKind) => ByteBudget;
    /** Ends the account. What remains, such as the body of a request in progress, counts until it is given back. */
    readonly close: () => void;
    readonly getUsed: () => number;
}

/** `closed`: a connection was closed in favour of others. `refused`: there was no room for what was asked for. */
export type ResourceEvent = "closed" | "refused";

export interface ResourceBudgetOptions {
    /** Limit in bytes. It is read on each call, since settings can change. */
    readonly getLimit: () => number;
    /** Lower limit of one kind. */
    readonly getKindLimit?: (kind: ResourceKind) => number;
    /** Called for each decision, with the kind that was asked for. */
    readonly onEvent?: (event: ResourceEvent, cause: ResourceKind) => void;
    /** Returns the time on a monotonic clock, in milliseconds. */
    readonly getNowMs?: () => number;
}

export interface ResourceBudget {
    /** Opens the account of a connection. Returns `undefined` if there is no room for `bytes`. */
    readonly open: (holder: ResourceHolder, bytes: number) => ResourceAccount | undefined;
    /** Returns the bytes of all accounts, or of one kind. */
    readonly getUsed: (kind?: ResourceKind) => number;
}

/** Fraction of the limit that is free after connections have been closed, so that not every call has to search. */
const FREED_FRACTION = 0.1;
/**
 * Fraction of the limit by which connections that are being closed may exceed it. Their memory is free only once their
 * sockets have closed, after all others that became readable at the same time have been read.
 */
const CLOSING_FRACTION = 0.15;
/** Bytes that count as progress. Fewer at a time could keep a connection from ever counting as stalled. */
const PROGRESS_BYTES = 1_024;
/** Added to the time without progress, so that among busy connections those that hold most are closed first. */
const MIN_STALLED_MS = 100;

interface AccountState {
    readonly holder: ResourceHolder;
    readonly used: Record<ResourceKind, number>;
    usedBytes: number;
    progressAtMs: number;
    /** Bytes transferred since the last progress. */
    transferredBytes: number;
    isClosing: boolean;
    isClosed: boolean;
}

interface BudgetState {
    readonly options: Required<ResourceBudgetOptions>;
    readonly open: Set<AccountState>;
    readonly used: Record<ResourceKind, number>;
    usedBytes: number;
    /** Part of `usedBytes` of connections that are being closed. */
    closingBytes: number;
}

const createUsage = (): Record<ResourceKind, number> => ({ connection: 0, head: 0, request: 0, body: 0, response: 0 });

const defaultOptions = {
    getKindLimit: (): number => Infinity,
    onEvent: (): void => undefined,
    getNowMs: (): number => performance.now(),
};

/** Creates a budget of which nothing is used. */
export function createResourceBudget(options: ResourceBudgetOptions): ResourceBudget {
    const state: BudgetState = {
        options: { ...defaultOptions, ...options },
        open: new Set(),
        used: createUsage(),
        usedBytes: 0,
        closingBytes: 0,
    };
    return {
        open: (holder, bytes) => openAccount(state, holder, bytes),
        getUsed: kind => kind === undefined ? state.usedBytes : state.used[kind],
    };
}

function openAccount(state: BudgetState, holder: ResourceHolder, bytes: number): ResourceAccount | undefined {
    const account: AccountState = {
        holder,
        used: createUsage(),
        usedBytes: 0,
        progressAtMs: state.options.getNowMs(),
        transferredBytes: 0,
        isClosing: false,
        isClosed: false,
    };
    if (!takeBytes(state, account, "connection", bytes)) {
        return undefined;
    }
    state.open.add(account);
    const take = (kind: ResourceKind, taken: number): boolean => takeBytes(state, account, kind, taken);
    const give = (kind: ResourceKind, given: number): void => addBytes(state, account, kind, -given);
    return {
        take,
        give,
        recordTransfer: transferred => recordTransfer(state, account, transferred),
        pay: kind => ({
            take: taken => take(kind, taken),
            give: given => give(kind, given),
            getUsed: () => account.used[kind],
        }),
        close: () => closeAccount(state, account),
        getUsed: () => account.usedBytes,
    };
}

function takeBytes(state: BudgetState, account: AccountState, kind: ResourceKind, bytes: number): boolean {
    const { options } = state;
    const hasRoom = !account.isClosing && !account.isClosed
        && reserveRoom(state, { asking: account, kind, bytes, scope: kindScope(state, kind) })
        && reserveRoom(state, { asking: account, kind, bytes, scope: totalScope(state) });
    if (!hasRoom) {
        options.onEvent("refused", kind);
        return false;
    }
    addBytes(state, account, kind, bytes);
    return true;
}

function addBytes(state: BudgetState, account: AccountState, kind: ResourceKind, bytes: number): void {
    account.used[kind] += bytes;
    account.usedBytes += bytes;
    state.used[kind] += bytes;
    state.usedBytes += bytes;
    state.closingBytes += account.isClosing ? bytes : 0;
}

function recordTransfer(state: BudgetState, account: AccountState, bytes: number): void {
    account.transferredBytes += bytes;
    if (account.transferredBytes >= PROGRESS_BYTES) {
        account.transferredBytes = 0;
        account.progressAtMs = state.options.getNowMs();
    }
}

function closeAccount(state: BudgetState, account: AccountState): void {
    state.open.delete(account);
    account.isClosed = true;
    addBytes(state, account, "connection", -account.used.connection);
    addBytes(state, account, "head", -account.used.head);
    if (account.isClosing) {
        state.closingBytes -= account.usedBytes;
        account.isClosing = false;
    }
}

/** What a limit applies to: all bytes, or those of one kind. */
interface LimitScope {
    readonly limit: number;
    readonly usedBytes: number;
    /** Part of `usedBytes` of connections that are being closed. */
    readonly closingBytes: number;
    /** Returns the bytes of an account to which the limit applies. */
    readonly getUsed: (account: AccountState) => number;
}

const totalScope = (state: BudgetState): LimitScope => ({
    limit: state.options.getLimit(),
    usedBytes: state.usedBytes,
    closingBytes: state.closingBytes,
    getUsed: ({ usedBytes }) => usedBytes,
});

const kindScope = (state: BudgetState, kind: ResourceKind): LimitScope => ({
    limit: state.options.getKindLimit(kind),
    usedBytes: state.used[kind],
    // Only asked for once the limit is reached.
    get closingBytes() {
        return [...state.open].reduce((sum, { isClosing, used }) => sum + (isClosing ? used[kind] : 0), 0);
    },
    getUsed: ({ used }) => used[kind],
});

interface RoomRequest {
    readonly asking: AccountState;
    readonly kind: ResourceKind;
    readonly bytes: number;
    readonly scope: LimitScope;
}

/** Closes other connections until there is room. Returns `false` if none of them ranks before the one that asks. */
function reserveRoom(state: BudgetState, { asking, kind, bytes, scope }: RoomRequest): boolean {
    const { limit, usedBytes, getUsed } = scope;
    if (usedBytes + bytes <= limit) {
        return true;
    }
    if (usedBytes + bytes > limit * (1 + CLOSING_FRACTION)) {
        return false;
    }
    let closingBytes = scope.closingBytes;
    const isOver = (wanted: number): boolean => usedBytes - closingBytes + bytes > wanted;
    if (!isOver(limit)) {
        return true;
    }
    for (const account of rankAccounts(state, asking, getUsed)) {
        if (account === asking || !isOver(limit * (1 - FREED_FRACTION))) {
            break;
        }
        account.isClosing = true;
        state.closingBytes += account.usedBytes;
        closingBytes += getUsed(account);
        state.options.onEvent("closed", kind);
        account.holder.close(kind);
    }
    return !isOver(limit);
}

/** Ranks the connections that may be closed: the one first that holds most, for longest, without progress. */
function rankAccounts(
    state: BudgetState,
    asking: AccountState,
    getUsed: LimitScope["getUsed"],
): readonly AccountState[] {
    const nowMs = state.options.getNowMs();
    const compute = (account: AccountState): number =>
        getUsed(account) * (nowMs - account.progressAtMs + MIN_STALLED_MS);
    return [...state.open]
        .filter(account => account === asking || !account.isClosing && !account.holder.isWaitingForHost())
        .map(account => ({ account, rank: compute(account) }))
        .filter(({ account, rank }) => account === asking || rank > 0)
        .sort((a, b) => b.rank - a.rank)
        .map(({ account }) => account);
}
