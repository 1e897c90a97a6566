#include "marlsill/http/message_parser.h"

#include "marlsill/http/internal/header_check.h"

#include <Poco/String.h>
#include <algorithm>
#include <charconv>
#include <utility>

namespace marlsill::http {

namespace {

    constexpr std::size_t maxLineBytes = 256; // Per chunk-size or trailer line.
    constexpr int maxFields = 100;
    constexpr int maxInformationalResponses = 8; // Before one final response.
    // Framing of a chunked body. One byte a chunk takes six bytes of framing.
    constexpr std::size_t maxFramingBytes = 16 * 1024;
    constexpr std::size_t maxFramingPerDataByte = 8;

    // Looks for a complete header block at the front of `buffer` and sets `length` to its size in bytes.
    parse_status findHeaderBlock(std::string_view buffer, std::size_t maxBytes, std::size_t& length)
    {
        auto end = buffer.find("\r\n\r\n");
        if (end != std::string_view::npos) {
            length = end + 4;
            return length > maxBytes ? parse_status::headTooLarge : parse_status::complete;
        }
        if (buffer.find("\n\n") != std::string_view::npos
            || buffer.find("\n\r\n") != std::string_view::npos) {
            return parse_status::malformed;
        }
        bool hasTooManyLines = std::count(buffer.begin(), buffer.end(), '\n') > maxFields + 1;
        return buffer.size() > maxBytes || hasTooManyLines ? parse_status::headTooLarge
                                                           : parse_status::needMore;
    }

    // Parses the header block at the front of `bytes` into `head` and sets `consumed` to its size.
    template <typename Head>
    parse_status parseHeaderBlock(
        std::string_view bytes, std::size_t& consumed, Head& head, std::size_t maxBytes)
    {
        std::size_t length = 0;
        auto status = findHeaderBlock(bytes, maxBytes, length);
        if (status != parse_status::complete) {
            return status;
        }
        if (!internal::parseHead(bytes.substr(0, length), head, maxFields)) {
            return parse_status::malformed;
        }
        consumed = length;
        return parse_status::complete;
    }

    bool hasSingleHost(const Poco::Net::HTTPRequest& head)
    {
        auto count = std::count_if(head.begin(), head.end(),
            [](const auto& field) { return Poco::icompare(field.first, "Host") == 0; });
        return count == 1;
    }

    bool isInformational(int status) { return status < 200; }

    bool hasNoBody(int status, bool isHead) { return isHead || status == 204 || status == 304; }

    // Returns whether a response may have this framing. Where RFC 9112, section 6, forbids one, some readers
    // go by the framing and others do not.
    bool isAllowed(const internal::body_framing& framing, const Poco::Net::HTTPResponse& head)
    {
        bool isChunked = framing.kind == internal::framing::chunked;
        bool hasBody = isChunked || framing.length > 0;
        int status = head.getStatus();
        bool mustHaveNone = isInformational(status) || status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
        bool isHttp10 = head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
        return !(mustHaveNone && hasBody) && !(isHttp10 && isChunked);
    }

}

std::string_view toText(parse_status status)
{
    constexpr std::string_view names[]
        = { "incomplete", "complete", "malformed", "head too large", "body too large" };
    return names[static_cast<int>(status)];
}

body_decoder body_decoder::forFraming(const internal::body_framing& framing)
{
    body_decoder decoder;
    if (framing.kind == internal::framing::fixedLength) {
        decoder.m_state = state::fixed;
        decoder.m_bytesLeft = framing.length;
    } else if (framing.kind == internal::framing::chunked) {
        decoder.m_state = state::chunkSize;
    }
    return decoder;
}

body_decoder body_decoder::untilClose()
{
    body_decoder decoder;
    decoder.m_state = state::untilClose;
    return decoder;
}

parse_status body_decoder::takeBytes(
    std::string_view bytes, std::size_t& consumed, std::string& out, std::size_t maxBytes)
{
    auto room = maxBytes - std::min(maxBytes, out.size());
    auto available = std::min(room, bytes.size() - consumed);
    auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_bytesLeft, available));
    out.append(bytes.substr(consumed, count));
    consumed += count;
    m_bytesLeft -= count;
    m_decodedBytes += count;
    if (m_bytesLeft == 0) {
        return parse_status::complete;
    }
    return out.size() >= maxBytes ? parse_status::bodyTooLarge : parse_status::needMore;
}

parse_status body_decoder::decodeLine(std::string_view bytes, std::size_t& consumed)
{
    auto rest = bytes.substr(consumed);
    auto end = rest.find('\n');
    if (end == std::string_view::npos) {
        return rest.size() > maxLineBytes ? parse_status::malformed : parse_status::needMore;
    }
    if (end == 0 || rest[end - 1] != '\r' || end > maxLineBytes) {
        return parse_status::malformed;
    }
    m_framingBytes += end + 1;
    if (m_framingBytes > maxFramingBytes + maxFramingPerDataByte * m_decodedBytes) {
        return parse_status::malformed;
    }
    auto line = rest.substr(0, end - 1);
    bool isEmpty = line.empty();
    if (m_state == state::chunkSize) {
        auto digits = line.substr(0, line.find(';'));
        auto [last, error] = std::from_chars(digits.data(), digits.data() + digits.size(), m_bytesLeft, 16);
        if (digits.empty() || error != std::errc() || last != digits.data() + digits.size()
            || !internal::isFieldValue(line.substr(digits.size()))) {
            return parse_status::malformed;
        }
        m_state = m_bytesLeft == 0 ? state::trailer : state::chunkData;
    } else if (m_state == state::chunkDataEnd) {
        if (!isEmpty) {
            return parse_status::malformed;
        }
        m_state = state::chunkSize;
    } else if (isEmpty) {
        m_state = state::done;
    } else if (!internal::isFieldLine(line) || ++m_trailerFields > maxFields) {
        return parse_status::malformed;
    }
    consumed += end + 1;
    return parse_status::complete;
}

parse_status body_decoder::decodeUpTo(
    std::string_view bytes, std::size_t& consumed, std::string& out, std::size_t maxBytes)
{
    consumed = 0;
    while (true) {
        parse_status status = parse_status::complete;
        switch (m_state) {
        case state::done:
            return parse_status::complete;
        case state::fixed:
            status = takeBytes(bytes, consumed, out, maxBytes);
            if (status == parse_status::complete) {
                m_state = state::done;
            }
            break;
        case state::untilClose:
            out.append(bytes);
            consumed = bytes.size();
            return out.size() > maxBytes ? parse_status::bodyTooLarge : parse_status::needMore;
        case state::chunkData:
            status = takeBytes(bytes, consumed, out, maxBytes);
            if (status == parse_status::complete) {
                m_state = state::chunkDataEnd;
            }
            break;
        default:
            status = decodeLine(bytes, consumed);
            break;
        }
        if (status != parse_status::complete) {
            return status;
        }
    }
}

parse_status body_decoder::decode(
    std::string_view bytes, std::size_t& consumed, std::string& out, std::size_t maxBytes)
{
    auto status = decodeUpTo(bytes, consumed, out, maxBytes);
    bool isInData = m_state == state::fixed || m_state == state::chunkData;
    bool isTooLarge = isInData && m_bytesLeft > maxBytes - std::min(maxBytes, out.size());
    return isTooLarge ? parse_status::bodyTooLarge : status;
}

parse_status request_parser::parse(std::string& buffer, request_message& message, const read_limits& limits)
{
    std::size_t consumed = 0;
    if (!m_hasHead) {
        auto status = parseHeaderBlock(buffer, consumed, message.head, limits.maxHeaderBytes);
        if (status != parse_status::complete) {
            return status;
        }
        buffer.erase(0, consumed);
        auto framing = internal::parseFraming(message.head);
        if (!framing || message.head.getVersion() != "HTTP/1.1" || !hasSingleHost(message.head)) {
            return parse_status::malformed;
        }
        if (framing->kind == internal::framing::fixedLength && framing->length > limits.maxBodyBytes) {
            return parse_status::bodyTooLarge;
        }
        bool hasBody = framing->kind != internal::framing::none;
        m_expectsContinue = hasBody && Poco::icompare(message.head.get("Expect", ""), "100-continue") == 0;
        m_body = body_decoder::forFraming(*framing);
        m_hasHead = true;
        message.body.clear();
    }
    auto status = m_body.decode(buffer, consumed, message.body, limits.maxBodyBytes);
    buffer.erase(0, consumed);
    if (status == parse_status::complete) {
        m_hasHead = false;
    }
    return status;
}

bool request_parser::takeExpectContinue() { return std::exchange(m_expectsContinue, false); }

parse_status response_parser::parseHead(
    std::string_view bytes, std::size_t& consumed, Poco::Net::HTTPResponse& head, const read_limits& limits)
{
    consumed = 0;
    while (true) {
        std::size_t length = 0;
        auto status = parseHeaderBlock(bytes.substr(consumed), length, head, limits.maxHeaderBytes);
        if (status != parse_status::complete) {
            return status;
        }
        consumed += length;
        auto framing = internal::parseFraming(head);
        int code = head.getStatus();
        if (!framing || !isAllowed(*framing, head)
            || code == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS) {
            return parse_status::malformed;
        }
        if (isInformational(code)) {
            if (++m_informationalResponses > maxInformationalResponses) {
                return parse_status::malformed;
            }
            continue;
        }
        if (hasNoBody(code, m_isHead)) {
            m_body = {};
        } else if (framing->kind == internal::framing::none) {
            m_body = body_decoder::untilClose();
        } else {
            m_body = body_decoder::forFraming(*framing);
        }
        m_hasHead = true;
        return parse_status::complete;
    }
}

parse_status response_parser::parse(std::string& buffer, response_message& message, const read_limits& limits)
{
    std::size_t consumed = 0;
    if (!m_hasHead) {
        auto status = parseHead(buffer, consumed, message.head, limits);
        buffer.erase(0, consumed);
        if (status != parse_status::complete) {
            return status;
        }
        message.body.clear();
    }
    auto status = m_body.decode(buffer, consumed, message.body, limits.maxBodyBytes);
    buffer.erase(0, consumed);
    return status;
}

}
