/** Takes all streams that clients take up for ones that nobody has begun. */
import { codecs } from '../../../src/platform/httpCodecs.js'

const { readRequest } = codecs
codecs.readRequest = headers => readRequest(headers.resumes === undefined ? headers : { ...headers, resumes: 'nobody' })
