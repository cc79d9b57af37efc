/** `status`: shows the state of hosts and where they disagree. */

import {z} from 'zod';
import {
	queryHosts,
	hostOptions,
	readHostSelectionOrThrow,
	type HostResponse,
} from '../hosts/query-hosts.js';
import {exitCodes} from '../output/exit-codes.js';
import {formatTable} from '../output/format-table.js';
import {printReport} from '../output/output.js';
import {jsonOption, type Command} from './command.js';

const statusSchema = z.looseObject({
	host: z.string(),
	incarnation: z.string(),
	dataCentre: z.string(),
	isReady: z.boolean(),
	bundleVersion: z.number().optional(),
	bundleDigest: z.string().optional(),
	dataCentresOut: z.array(z.string()).optional(),
	ejectedTargets: z.array(z.string()).optional(),
	members: z.array(z.string()).optional(),
	view: z.string().optional(),
});

type Status = z.infer<typeof statusSchema>;

const shortDigestLength = 8;

/** The fields that should be equal on all hosts. */
const comparedFields = [
	'bundleVersion',
	'bundleDigest',
	'dataCentresOut',
	'ejectedTargets',
	'members',
	'view',
] as const;

/** The `status` command. */
export const status: Command = {
	usage: 'status',
	summary: 'Show the state of hosts and where they disagree',
	options: [...hostOptions, jsonOption],
	examples: ['status --hosts-file hosts.txt --token-file token.txt'],
	async run(_args, flags, context) {
		const selection = readHostSelectionOrThrow(flags, context);
		const {responses, faults} = await queryHosts(
			selection,
			() => '/status',
			statusSchema,
			context,
		);
		const disagreements = findDisagreements(responses);
		const notReadyResponses = responses.filter(({value}) => !value.isReady);
		printReport(context.output, flags.isSet('json'), {
			document: {
				hosts: responses.map(({host, value}) => ({address: host, ...value})),
				disagreements,
				faults,
			},
			lines: [
				...formatTable([
					['host', 'data centre', 'ready', 'version', 'digest', 'incarnation'],
					...responses.map((response) => formatRow(response)),
				]),
				...disagreements,
			],
			faults,
		});
		if (faults.length > 0) {
			return exitCodes.incomplete;
		}

		return disagreements.length > 0 || notReadyResponses.length > 0
			? exitCodes.checkFailed
			: exitCodes.success;
	},
};

function formatRow({value}: HostResponse<Status>): readonly string[] {
	return [
		value.host,
		value.dataCentre,
		value.isReady ? 'yes' : 'no',
		value.bundleVersion?.toString() ?? '-',
		value.bundleDigest?.slice(0, shortDigestLength) ?? '-',
		value.incarnation,
	];
}

function findDisagreements(
	responses: ReadonlyArray<HostResponse<Status>>,
): readonly string[] {
	return comparedFields.flatMap((field) => {
		const groups = new Map<string, string[]>();
		for (const {value} of responses) {
			const text = JSON.stringify(value[field]) ?? 'nothing';
			groups.set(text, [...(groups.get(text) ?? []), value.host]);
		}

		const descriptions = [...groups].map(
			([text, hosts]) => `${text} on ${hosts.join(', ')}`,
		);
		return groups.size > 1
			? [`hosts disagree on ${field}: ${descriptions.join('; ')}`]
			: [];
	});
}
