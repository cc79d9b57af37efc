/** The messages by which hosts keep the rate limits of client accounts, as methods and parameters of JSON-RPC. */

import {makeId} from '@bilberryscale/core';
import {isHostAddress} from '../fleet/is-host-address.js';
import type {ClientAccountName} from '../plan/client-account.js';
import type {HostListEntry} from '../fleet/host-directory.js';
import type {AccountLimit} from './allotment-tolerance.js';

/** Asks an allotment owner for tokens. */
export type TokenRequest = {
	readonly method: 'token-request';
	/** Identifies the request at its sender; the same if it is sent again. */
	readonly requestNumber: number;
	readonly account: ClientAccountName;
	/** How many requests wait for a token. */
	readonly needed: number;
	/** How many tokens the sender would use soon; at least `needed`. */
	readonly wanted: number;
	/** The limit in the sender's plan, which may be newer than the receiver's. */
	readonly limit: AccountLimit;
	/** Hosts that rank before the receiver and do not answer the sender. */
	readonly skipped: readonly string[];
};

/** Answers a token request. */
export type TokenReply = {
	readonly method: 'token-reply';
	readonly requestNumber: number;
	/** The number of tokens; 0 for a refusal or a redirect. */
	readonly granted: number;
	/** How long the tokens may be used, counted from when the request was sent, in milliseconds. */
	readonly validMs: number;
	/** When a request that got no token should return, in milliseconds. */
	readonly retryAfterMs: number;
	/** A host that ranks before the sender and has to be asked instead. */
	readonly owner: string | undefined;
};

/** Gives back tokens whose requests certainly have not run. */
export type TokenReturn = {
	readonly method: 'token-return';
	readonly account: ClientAccountName;
	readonly count: number;
};

/** Checks whether a host answers. */
export type ContactCheck = {
	readonly method: 'contact-check';
	/** Identifies the check at its sender; the reply repeats it. */
	readonly check: number;
};

/** Answers a contact check. */
export type ContactReply = {
	readonly method: 'contact-reply';
	readonly check: number;
};

/** Asks for the hosts that the receiver knows. */
export type HostsRequest = {readonly method: 'hosts-request'};

/** Answers a request for hosts, in several messages if there are many. */
export type HostsReply = {
	readonly method: 'hosts-reply';
	readonly hosts: readonly HostListEntry[];
};

/** A message about rate limits. */
export type AllotmentMessage =
	| TokenRequest
	| TokenReply
	| TokenReturn
	| ContactCheck
	| ContactReply
	| HostsRequest
	| HostsReply;

const methods: ReadonlySet<string> = new Set<AllotmentMessage['method']>([
	'token-request',
	'token-reply',
	'token-return',
	'contact-check',
	'contact-reply',
	'hosts-request',
	'hosts-reply',
]);
/** Upper bound on the tokens that a message may name; a larger number is an error of its sender. */
const maxTokens = 1000;

/**
 * Checks whether a message is about rate limits.
 *
 * @param message - A message between hosts.
 * @returns Whether its method is one of this module.
 */
export function isAllotmentMessage(message: {
	readonly method: string;
}): message is AllotmentMessage {
	return methods.has(message.method);
}

/**
 * Encodes the parameters of a message.
 *
 * @param message - The message.
 * @returns The parameters.
 */
export function encodeAllotmentParameters(
	message: AllotmentMessage,
): readonly unknown[] {
	switch (message.method) {
		case 'token-request': {
			const {requestNumber, account, needed, wanted, limit, skipped} = message;
			const {planVersion, ratePerSecond, burst} = limit;
			return [
				requestNumber,
				account,
				needed,
				wanted,
				planVersion,
				ratePerSecond,
				burst,
				...skipped,
			];
		}

		case 'token-reply': {
			const {requestNumber, granted, validMs, retryAfterMs, owner} = message;
			const times = [Math.floor(validMs), Math.ceil(retryAfterMs)];
			return [
				requestNumber,
				granted,
				...times,
				...(owner === undefined ? [] : [owner]),
			];
		}

		case 'token-return': {
			return [message.account, message.count];
		}

		case 'contact-check':
		case 'contact-reply': {
			return [message.check];
		}

		case 'hosts-request': {
			return [];
		}

		case 'hosts-reply': {
			return message.hosts;
		}
	}
}

/**
 * Decodes a message.
 *
 * @param method - The method.
 * @param parameters - The parameters.
 * @returns The message; undefined if the method is unknown or the parameters are invalid.
 */
export function decodeAllotmentMessage(
	method: string,
	parameters: readonly unknown[],
): AllotmentMessage | undefined {
	switch (method) {
		case 'token-request': {
			return decodeTokenRequest(parameters);
		}

		case 'token-reply': {
			return decodeTokenReply(parameters);
		}

		case 'token-return': {
			const [account, count] = parameters;
			return typeof account === 'string' && isTokenCount(count)
				? {method, account: makeId<ClientAccountName>(account), count}
				: undefined;
		}

		case 'contact-check':
		case 'contact-reply': {
			const [check] = parameters;
			return isAmount(check) ? {method, check} : undefined;
		}

		case 'hosts-request': {
			return {method};
		}

		case 'hosts-reply': {
			return {method, hosts: parameters.filter((entry) => isHostEntry(entry))};
		}

		default: {
			return undefined;
		}
	}
}

function decodeTokenRequest([
	requestNumber,
	account,
	needed,
	wanted,
	planVersion,
	ratePerSecond,
	burst,
	...skipped
]: readonly unknown[]): TokenRequest | undefined {
	const isValid =
		isAmount(requestNumber) &&
		typeof account === 'string' &&
		isTokenCount(needed) &&
		isTokenCount(wanted) &&
		isAmount(planVersion) &&
		isAmount(ratePerSecond) &&
		isAmount(burst) &&
		skipped.every((address) => isAddress(address));
	return isValid
		? {
				method: 'token-request',
				requestNumber,
				account: makeId<ClientAccountName>(account),
				needed,
				wanted: Math.max(needed, wanted),
				limit: {planVersion, ratePerSecond, burst},
				skipped,
			}
		: undefined;
}

function decodeTokenReply([
	requestNumber,
	granted,
	validMs,
	retryAfterMs,
	owner,
]: readonly unknown[]): TokenReply | undefined {
	const isValid =
		isAmount(requestNumber) &&
		isTokenCount(granted) &&
		isAmount(validMs) &&
		isAmount(retryAfterMs) &&
		(owner === undefined || isAddress(owner));
	return isValid
		? {
				method: 'token-reply',
				requestNumber,
				granted,
				validMs,
				retryAfterMs,
				owner,
			}
		: undefined;
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isTokenCount(value: unknown): value is number {
	return isAmount(value) && Number.isInteger(value) && value <= maxTokens;
}

function isHostEntry(value: unknown): value is HostListEntry {
	return Array.isArray(value) && isAddress(value[0]) && isAmount(value[1]);
}

function isAddress(value: unknown): value is string {
	return typeof value === 'string' && isHostAddress(value);
}

/**
 * Checks whether a message is a reply, which proves that messages get there and back.
 *
 * @param message - The message.
 * @returns Whether its sender has received a message of this host.
 */
export function isReply({method}: Pick<AllotmentMessage, 'method'>): boolean {
	return (
		method === 'token-reply' ||
		method === 'contact-reply' ||
		method === 'hosts-reply'
	);
}
