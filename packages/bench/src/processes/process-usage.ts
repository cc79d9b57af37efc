/** What a process has used, read from the kernel. */

import fs from 'node:fs';

/** Processor time and memory of a process. */
export type ProcessUsage = {
	/** The processor time in user and system mode, in milliseconds. */
	readonly cpuMs: number;
	/** The resident memory in bytes. */
	readonly residentBytes: number;
};

const msPerTick = 10;
const bytesPerKilobyte = 1024;
const userTimeField = 11;
const systemTimeField = 12;

/**
 * Reads the usage of a process.
 *
 * @param pid - The process id.
 * @returns The usage since its start.
 */
export function readUsage(pid: number): ProcessUsage {
	const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
	const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
	const kilobytes = Number(/VmRSS:\s+(\d+)/v.exec(status)?.[1] ?? 0);
	return {
		cpuMs: ticks * msPerTick,
		residentBytes: kilobytes * bytesPerKilobyte,
	};
}
