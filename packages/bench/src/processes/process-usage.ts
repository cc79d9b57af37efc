/** CPU time and memory of a process, read from procfs. */

import fs from 'node:fs';

/** CPU time and memory of a process. */
export type ProcessUsage = {
	/** CPU time in user and system mode, in milliseconds. */
	readonly cpuMs: number;
	/** Resident memory in bytes. */
	readonly residentBytes: number;
};

const msPerTick = 10;
const bytesPerKilobyte = 1024;
/** Indexes of `utime` and `stime` among the fields after the command name. */
const userTimeIndex = 11;
const systemTimeIndex = 12;

/**
 * Reads the usage of a process.
 *
 * @param pid - Process ID.
 * @returns CPU time since the start of the process and its current memory.
 */
export function readUsage(pid: number): ProcessUsage {
	const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTimeIndex]) + Number(fields[systemTimeIndex]);
	const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
	const kilobytes = Number(/VmRSS:\s+(\d+)/v.exec(status)?.[1] ?? 0);
	return {
		cpuMs: ticks * msPerTick,
		residentBytes: kilobytes * bytesPerKilobyte,
	};
}
