/** Encodes and decodes the datagrams between hosts: JSON-RPC 2.0 notifications. */

import {Buffer} from 'node:buffer';
import {makeId, type DataCentreId, type Digest} from '@bilberryscale/core';
import {
	decodeAllotmentMessage,
	encodeAllotmentParameters,
	isAllotmentMessage,
	type AllotmentMessage,
} from '../accounts/allotment-message.js';
import {
	decodeCapacityRecords,
	encodeCapacityRecords,
	type CapacityRecord,
} from '../capacity/capacity-record.js';
import {
	decodeLoanMessage,
	encodeLoanParameters,
	isLoanMessage,
	type LoanMessage,
} from '../limits/loan-message.js';
import type {TargetIncarnation} from '../plan/registered-target.js';
import type {LimitNotice} from '../targets/limit-notice.js';
import {
	decodeWarmUpMessage,
	encodeWarmUpParameters,
	isWarmUpMessage,
	type WarmUpMessage,
} from '../warm-up/warm-up-message.js';
import {isHostAddress} from './is-host-address.js';
import type {MemberRecord} from './membership.js';

/** Reports that a target crashed while it ran a request. */
export type CrashNotice = {
	/** Identifies the request. */
	readonly signature: Digest;
	readonly incarnation: TargetIncarnation;
	/** The time since the crash, in milliseconds. */
	readonly ageMs: number;
};

/** A message from one host to another. */
export type GossipMessage =
	| {
			readonly method: 'members';
			readonly members: readonly MemberRecord[];
			/** Whether the receiver should reply with its own members. */
			readonly wantsReply: boolean;
			/** The estimates of the sender; older hosts send none and ignore them. */
			readonly capacity?: readonly CapacityRecord[];
	  }
	| {readonly method: 'crash'; readonly notice: CrashNotice}
	| {readonly method: 'failure'; readonly incarnation: TargetIncarnation}
	| {readonly method: 'limit'; readonly notice: LimitNotice}
	| LoanMessage
	| WarmUpMessage
	| AllotmentMessage;

type JsonRpcNotification = {
	readonly jsonrpc: '2.0';
	readonly method: string;
	readonly params: readonly unknown[];
};

const jsonRpcVersion = '2.0';

/**
 * Encodes a message.
 *
 * @param message - The message to send.
 * @returns The datagram.
 */
export function encodeMessage(message: GossipMessage): Buffer {
	const notification: JsonRpcNotification = {
		jsonrpc: jsonRpcVersion,
		method: message.method,
		params: encodeParameters(message),
	};
	return Buffer.from(JSON.stringify(notification));
}

/**
 * Decodes a datagram.
 *
 * @param datagram - The received datagram.
 * @returns The message; undefined if the datagram is not a valid message.
 */
export function decodeMessage(datagram: Uint8Array): GossipMessage | undefined {
	const notification = parseNotification(datagram);
	if (notification?.jsonrpc !== jsonRpcVersion) {
		return undefined;
	}

	const {method, params} = notification;
	if (!Array.isArray(params)) {
		return undefined;
	}

	return decodeParameters(String(method), params as unknown[]);
}

function decodeParameters(
	method: string,
	parameters: readonly unknown[],
): GossipMessage | undefined {
	const [first, second, third] = parameters;
	switch (method) {
		case 'members': {
			return decodeMembers(first, second, third);
		}

		case 'crash': {
			const notice = decodeCrashNotice(first, second, third);
			return notice && {method, notice};
		}

		case 'failure': {
			return typeof first === 'string'
				? {method, incarnation: makeId<TargetIncarnation>(first)}
				: undefined;
		}

		case 'limit': {
			const notice = decodeLimitNotice(first, second, third);
			return notice && {method, notice};
		}

		default: {
			return (
				decodeAllotmentMessage(method, parameters) ??
				decodeLoanMessage(method, parameters) ??
				decodeWarmUpMessage(method, parameters)
			);
		}
	}
}

/** Notices of earlier versions have no age and were sent at once. */
function decodeCrashNotice(
	signature: unknown,
	incarnation: unknown,
	ageMs: unknown = 0,
): CrashNotice | undefined {
	const isValid =
		typeof signature === 'string' &&
		typeof incarnation === 'string' &&
		typeof ageMs === 'number' &&
		ageMs >= 0;
	return isValid
		? {
				signature: makeId<Digest>(signature),
				incarnation: makeId<TargetIncarnation>(incarnation),
				ageMs,
			}
		: undefined;
}

function decodeLimitNotice(
	incarnation: unknown,
	perSecond: unknown,
	source: unknown,
): LimitNotice | undefined {
	const isLimit =
		perSecond === null || (typeof perSecond === 'number' && perSecond >= 0);
	const isValid =
		typeof incarnation === 'string' &&
		isLimit &&
		(source === 'probe' || source === 'attempt');
	return isValid
		? {
				incarnation: makeId<TargetIncarnation>(incarnation),
				perSecond: perSecond ?? undefined,
				source,
			}
		: undefined;
}

function encodeParameters(message: GossipMessage): readonly unknown[] {
	if (isAllotmentMessage(message)) {
		return encodeAllotmentParameters(message);
	}

	if (isLoanMessage(message)) {
		return encodeLoanParameters(message);
	}

	if (isWarmUpMessage(message)) {
		return encodeWarmUpParameters(message);
	}

	switch (message.method) {
		case 'members': {
			const members = message.members.map(
				({address, dataCentre, incarnation, heartbeat}) => [
					address,
					dataCentre,
					incarnation,
					heartbeat,
				],
			);
			const {wantsReply, capacity = []} = message;
			return capacity.length === 0
				? [members, wantsReply]
				: [members, wantsReply, encodeCapacityRecords(capacity)];
		}

		case 'crash': {
			const {signature, incarnation, ageMs} = message.notice;
			return [signature, incarnation, Math.round(ageMs)];
		}

		case 'failure': {
			return [message.incarnation];
		}

		case 'limit': {
			const {incarnation, perSecond, source} = message.notice;
			return [incarnation, perSecond ?? null, source];
		}
	}
}

function decodeMembers(
	members: unknown,
	wantsReply: unknown,
	capacityParameter: unknown,
): GossipMessage | undefined {
	if (!Array.isArray(members)) {
		return undefined;
	}

	const capacity = decodeCapacityRecords(capacityParameter);
	return {
		method: 'members',
		members: members.flatMap((member) => decodeMember(member)),
		wantsReply: wantsReply === true,
		...(capacity.length > 0 && {capacity}),
	};
}

function decodeMember(member: unknown): MemberRecord[] {
	if (!Array.isArray(member)) {
		return [];
	}

	const [address, dataCentre, incarnation, heartbeat] = member as unknown[];
	const isMemberRecord =
		typeof address === 'string' &&
		isHostAddress(address) &&
		typeof dataCentre === 'string' &&
		Number.isSafeInteger(incarnation) &&
		Number.isSafeInteger(heartbeat);
	return isMemberRecord
		? [
				{
					address,
					dataCentre: makeId<DataCentreId>(dataCentre),
					incarnation: Number(incarnation),
					heartbeat: Number(heartbeat),
				},
			]
		: [];
}

function parseNotification(
	datagram: Uint8Array,
): Partial<JsonRpcNotification> | undefined {
	try {
		const value: unknown = JSON.parse(Buffer.from(datagram).toString());
		return typeof value === 'object' && value !== null ? value : undefined;
	} catch {
		// Hosts of the fleet send JSON only, so the datagram is from another sender.
		return undefined;
	}
}
