/** Decides by the key of a request which client account it belongs to, and whether it may be sent. */

import {Buffer} from 'node:buffer';
import {notRunFailure, type Failure} from '@bilberryscale/core';
import type {IncomingCall} from '@bilberryscale/daemon/edge';
import {Err, Ok, type Result} from 'ts-results-es';
import type {ClientAccount} from '../plan/client-account.js';
import type {ActivePlan, PlanHolder} from '../plan/plan-holder.js';
import type {Route} from '../plan/routing-plan.js';
import type {RoutedRequest} from '../relay/request-reader.js';
import {getKeyDigest} from './get-key-digest.js';

/** Why a request is refused. */
export type RefusalReason =
	/** It has no key. */
	| 'missing'
	/** It has several headers with a key. */
	| 'several'
	/** No account holds its key. */
	| 'unknown'
	/** This host's accounts are too old. */
	| 'outdated';

/** A refused request. */
export type AccountRefusal = {
	readonly reason: RefusalReason;
	readonly failure: Failure;
	/** The first digits of the key's digest, which tell keys apart without revealing them; undefined without one key. */
	readonly keyDigestStart: string | undefined;
};

/** Dependencies of the check. */
export type AccountCheckOptions = {
	readonly plans: PlanHolder;
	/** The request header with the key. */
	readonly credentialHeader: string;
	/** Gets the maximum age of accounts, in milliseconds; undefined if there is none. */
	readonly getMaxAgeMs: () => number | undefined;
	/** Gets the time since the store confirmed the plan in force, in milliseconds. */
	readonly getAgeMs: () => number;
	/** Called with each request that is refused on arrival. */
	readonly onRefusal: (
		incoming: IncomingCall,
		refusal: AccountRefusal,
		plan: ActivePlan,
	) => void;
};

/** Enough hexadecimal digits to tell the keys of one plan apart. */
const digestStartLength = 8;

/** Checks keys on arrival and again before each send, since the plan may have changed in between. */
export class AccountCheck {
	readonly #options: AccountCheckOptions;

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: AccountCheckOptions) {
		this.#options = options;
	}

	/**
	 * Checks a request that has arrived.
	 *
	 * @param incoming - The request; its body is not needed.
	 * @param route - Its route.
	 * @param plan - The plan of the route.
	 * @returns The account, undefined if the request needs none, or the reason for a refusal.
	 */
	check(
		incoming: IncomingCall,
		route: Route,
		plan: ActivePlan,
	): Result<ClientAccount | undefined, Failure> {
		return this.#find(incoming, route, plan).mapErr((refusal) => {
			this.#options.onRefusal(incoming, refusal, plan);
			return refusal.failure;
		});
	}

	/**
	 * Checks a request again by the plan in force; called right before each send.
	 *
	 * @param request - The request as it was read or last checked.
	 * @returns The request with the account that holds its key now, or the reason for a refusal.
	 */
	recheck(request: RoutedRequest): Result<RoutedRequest, Failure> {
		const {plans, getMaxAgeMs} = this.#options;
		const plan = plans.plan ?? request.plan;
		const isUnchanged =
			plan === request.plan &&
			(getMaxAgeMs() === undefined || request.account === undefined);
		if (plan === undefined || isUnchanged) {
			return Ok(request);
		}

		const {incoming} = request.exchange;
		const {host = ''} = incoming.headers;
		const route = plan.routeTable.getRoute(host, incoming.url) ?? request.route;
		return this.#find(incoming, route, plan)
			.map((account) => ({
				...request,
				plan,
				account,
				hasAccounts:
					request.hasAccounts === true || plan.accounts !== undefined,
			}))
			.mapErr(({failure}) => failure);
	}

	#find(
		incoming: IncomingCall,
		{isPublic}: Route,
		{accounts, version}: ActivePlan,
	): Result<ClientAccount | undefined, AccountRefusal> {
		if (accounts === undefined || isPublic) {
			return Ok(undefined);
		}

		const {credentialHeader, getAgeMs, getMaxAgeMs} = this.#options;
		const key = incoming.headers[credentialHeader];
		const count = countHeaders(incoming, credentialHeader);
		if (typeof key !== 'string' || key === '' || count !== 1) {
			return count > 1
				? refuse('several', `The request has ${count} headers with a key.`)
				: refuse('missing', 'The request has no key of a client account.');
		}

		const account = accounts.findByKey(key);
		if (account === undefined) {
			const detail = `No client account holds the key of the request in version ${version}.`;
			return refuse('unknown', detail, key);
		}

		const ageMs = getAgeMs();
		return ageMs > (getMaxAgeMs() ?? Number.POSITIVE_INFINITY)
			? refuse(
					'outdated',
					`The store last confirmed the client accounts ${Math.round(ageMs)} ms ago.`,
					key,
				)
			: Ok(account);
	}
}

/** Counts header lines, since several of one name arrive as one joined value. */
function countHeaders(
	{headers, rawHeaders}: IncomingCall,
	name: string,
): number {
	if (rawHeaders === undefined) {
		return headers[name] === undefined ? 0 : 1;
	}

	let count = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const rawName = rawHeaders[index]!;
		if (rawName.length === name.length && rawName.toLowerCase() === name) {
			count++;
		}
	}

	return count;
}

function refuse(
	reason: RefusalReason,
	detail: string,
	key?: string,
): Err<AccountRefusal> {
	const kind = reason === 'outdated' ? 'accounts-outdated' : 'account-unknown';
	return Err({
		reason,
		failure: notRunFailure(kind, detail),
		keyDigestStart:
			key === undefined
				? undefined
				: getKeyDigest(Buffer.from(key, 'latin1')).slice(0, digestStartLength),
	});
}
