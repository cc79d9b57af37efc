/** The messages by which hosts lend each other retries, as methods and parameters of JSON-RPC. */

import {makeId, type ServiceName} from '@bilberryscale/core';

/** Asks a host for a part of its retries. */
export type LoanRequest = {
	readonly method: 'retry-loan';
	/** Identifies the request at its sender. */
	readonly requestNumber: number;
	readonly service: ServiceName;
	/** How many retries the sender lacks. */
	readonly amount: number;
	/** The share of its capacity that the receiver keeps, from 0 to 1. */
	readonly reservedShare: number;
};

/** Answers a request for retries. */
export type LoanReply = {
	readonly method: 'retry-loan-reply';
	readonly requestNumber: number;
	/** How many retries the sender of the request may use; 0 for none. */
	readonly amount: number;
	/** How many the sender of the reply has left. */
	readonly left: number;
};

/** A message about loans. */
export type LoanMessage = LoanRequest | LoanReply;

/** A host lacks one retry at most. */
const maxAmount = 1;
/** Amounts are sent in thousandths. */
const amountUnits = 1000;

/**
 * Checks whether a message is about loans.
 *
 * @param message - A message between hosts.
 * @returns Whether its method is one of this module.
 */
export function isLoanMessage(message: {
	readonly method: string;
}): message is LoanMessage {
	return (
		message.method === 'retry-loan' || message.method === 'retry-loan-reply'
	);
}

/**
 * Encodes the parameters of a message.
 *
 * @param message - The message.
 * @returns The parameters.
 */
export function encodeLoanParameters(message: LoanMessage): readonly unknown[] {
	const {requestNumber, amount} = message;
	return message.method === 'retry-loan'
		? [
				requestNumber,
				message.service,
				Math.ceil(amount * amountUnits),
				message.reservedShare,
			]
		: [
				requestNumber,
				Math.floor(amount * amountUnits),
				Math.max(0, Math.floor(message.left * amountUnits)),
			];
}

/**
 * Decodes a message.
 *
 * @param method - The method.
 * @param parameters - The parameters.
 * @returns The message; undefined if the method is unknown or the parameters are invalid.
 */
export function decodeLoanMessage(
	method: string,
	parameters: readonly unknown[],
): LoanMessage | undefined {
	const [requestNumber, ...others] = parameters;
	if (!Number.isSafeInteger(requestNumber)) {
		return undefined;
	}

	if (method === 'retry-loan') {
		const [service, amount, reservedShare] = others;
		return typeof service === 'string' &&
			isAmount(amount) &&
			isShare(reservedShare)
			? {
					method,
					requestNumber: Number(requestNumber),
					service: makeId<ServiceName>(service),
					amount: amount / amountUnits,
					reservedShare,
				}
			: undefined;
	}

	const [amount, left] = others;
	return method === 'retry-loan-reply' &&
		isAmount(amount) &&
		typeof left === 'number' &&
		left >= 0
		? {
				method,
				requestNumber: Number(requestNumber),
				amount: amount / amountUnits,
				left: left / amountUnits,
			}
		: undefined;
}

function isAmount(value: unknown): value is number {
	return (
		typeof value === 'number' &&
		Number.isInteger(value) &&
		value >= 0 &&
		value <= maxAmount * amountUnits
	);
}

function isShare(value: unknown): value is number {
	return typeof value === 'number' && value >= 0 && value <= 1;
}
