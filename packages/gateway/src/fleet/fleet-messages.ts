/** The datagrams between hosts: JSON-RPC 2.0 notifications. */

import {Buffer} from 'node:buffer';
import {makeId, type DataCentreId, type Digest} from '@bilberryscale/core';
import type {TargetLife} from '../plan/registered-target.js';
import type {MemberRecord} from './membership.js';

/** A request under which a target ended. */
export type CrashNotice = {
	readonly signature: Digest;
	readonly life: TargetLife;
};

/** What a host tells another. */
export type FleetMessage =
	| {
			readonly method: 'members';
			readonly members: readonly MemberRecord[];
			/** Whether the sender wants to hear the receiver's members. */
			readonly wantsReply: boolean;
	  }
	| {readonly method: 'crash'; readonly notice: CrashNotice}
	| {readonly method: 'failure'; readonly life: TargetLife};

type Notification = {
	readonly jsonrpc: '2.0';
	readonly method: string;
	readonly params: readonly unknown[];
};

const jsonRpcVersion = '2.0';

/**
 * Encodes a message.
 *
 * @param message - The message.
 * @returns The datagram.
 */
export function encodeMessage(message: FleetMessage): Buffer {
	const notification: Notification = {
		jsonrpc: jsonRpcVersion,
		method: message.method,
		params: getParameters(message),
	};
	return Buffer.from(JSON.stringify(notification));
}

/**
 * Decodes a datagram.
 *
 * @param datagram - The datagram.
 * @returns The message; undefined if it is none.
 */
export function decodeMessage(datagram: Uint8Array): FleetMessage | undefined {
	const notification = parse(datagram);
	if (notification?.jsonrpc !== jsonRpcVersion) {
		return undefined;
	}

	const {method, params} = notification;
	if (!Array.isArray(params)) {
		return undefined;
	}

	const [first, second] = params as unknown[];
	return decodeParameters(String(method), first, second);
}

function decodeParameters(
	method: string,
	first: unknown,
	second: unknown,
): FleetMessage | undefined {
	switch (method) {
		case 'members': {
			return decodeMembers(first, second);
		}

		case 'crash': {
			return typeof first === 'string' && typeof second === 'string'
				? {
						method,
						notice: {
							signature: makeId<Digest>(first),
							life: makeId<TargetLife>(second),
						},
					}
				: undefined;
		}

		case 'failure': {
			return typeof first === 'string'
				? {method, life: makeId<TargetLife>(first)}
				: undefined;
		}

		default: {
			return undefined;
		}
	}
}

function getParameters(message: FleetMessage): readonly unknown[] {
	switch (message.method) {
		case 'members': {
			const members = message.members.map(
				({address, dataCentre, incarnation, beat}) => [
					address,
					dataCentre,
					incarnation,
					beat,
				],
			);
			return [members, message.wantsReply];
		}

		case 'crash': {
			return [message.notice.signature, message.notice.life];
		}

		case 'failure': {
			return [message.life];
		}
	}
}

function decodeMembers(
	members: unknown,
	wantsReply: unknown,
): FleetMessage | undefined {
	if (!Array.isArray(members)) {
		return undefined;
	}

	return {
		method: 'members',
		members: members.flatMap((member) => decodeMember(member)),
		wantsReply: wantsReply === true,
	};
}

function decodeMember(member: unknown): MemberRecord[] {
	if (!Array.isArray(member)) {
		return [];
	}

	const [address, dataCentre, incarnation, beat] = member as unknown[];
	const isRecord =
		typeof address === 'string' &&
		typeof dataCentre === 'string' &&
		typeof incarnation === 'number' &&
		typeof beat === 'number';
	return isRecord
		? [
				{
					address,
					dataCentre: makeId<DataCentreId>(dataCentre),
					incarnation,
					beat,
				},
			]
		: [];
}

function parse(datagram: Uint8Array): Partial<Notification> | undefined {
	try {
		const value: unknown = JSON.parse(Buffer.from(datagram).toString());
		return typeof value === 'object' && value !== null ? value : undefined;
	} catch {
		// A datagram that is no JSON comes from no host of the fleet.
		return undefined;
	}
}
